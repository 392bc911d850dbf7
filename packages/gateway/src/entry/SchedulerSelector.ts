import type { LinkPool } from '../control/LinkPool.js';
import type { Link } from '../links/index.js';
import type { ClusterView } from './ClusterView.js';

export interface SchedulerSelectorOptions {
  view: ClusterView;
  linkPool: LinkPool;
}

/** Number of schedulers that learn of every placement: the active one and one standby. */
const SCHEDULER_COUNT = 2;
/**
 * Time in milliseconds without any message on a link after which it is not selected: two pings of
 * the link (every 400 ms) were missed, but it is not closed yet (after 1400 ms).
 */
const MAX_LINK_SILENCE_MS = 900;
/** Time for which a scheduler that did not respond receives no requests, in milliseconds. */
const PAUSE_DURATION_MS = 300;

/**
 * Selects the control processes that place prompts. The leader is the active scheduler; the next
 * member in cluster order with a working link is the standby. It is notified of all placed jobs,
 * not of queued ones, and can take over at once if the leader does not respond. Entry processes
 * whose links differ may select different standbys.
 */
export class SchedulerSelector {
  private readonly pausedUntil = new WeakMap<Link, number>();

  constructor(private readonly options: SchedulerSelectorOptions) {}

  /** Gets the links to the schedulers, the preferred one first. */
  getLinks(): Link[] {
    const { view, linkPool } = this.options;
    const { leader, members } = view.cluster.value;
    const first = leader === null ? 0 : Math.max(0, members.indexOf(leader));
    const ordered = [...members.slice(first), ...members.slice(0, first)];
    const links: Link[] = [];
    for (const address of ordered) {
      const link = linkPool.getLink(address).current;
      if (link && link.silenceMs <= MAX_LINK_SILENCE_MS) links.push(link);
      if (links.length === SCHEDULER_COUNT) break;
    }
    return links;
  }

  /** Pauses requests to a scheduler that did not respond. */
  pause(link: Link): void {
    this.pausedUntil.set(link, performance.now() + PAUSE_DURATION_MS);
  }

  isPaused(link: Link): boolean {
    return (this.pausedUntil.get(link) ?? 0) > performance.now();
  }
}
