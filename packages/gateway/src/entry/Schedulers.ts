import type { Mesh } from '../control/Mesh.js';
import type { Link } from '../links/index.js';
import type { View } from './View.js';

/** What chooses schedulers. */
export interface SchedulersOptions {
  view: View;
  mesh: Mesh;
}

/** Schedulers that are told of every placement: the one that decides and one that can take over. */
const SCHEDULER_COUNT = 2;
/** Silence of a link in milliseconds after which its other side is not asked. */
const SUSPECT_MS = 900;
/** Milliseconds for which a scheduler that did not answer is not asked. */
const PAUSE_MS = 300;

/**
 * The control processes that place prompts. The leader decides; the next member in the cluster's
 * order stands by and knows the same, so it decides at once when the leader is silent.
 */
export class Schedulers {
  private readonly pausedUntil = new WeakMap<Link, number>();

  constructor(private readonly options: SchedulersOptions) {}

  /** Gets the links to the schedulers, the preferred one first. */
  getLinks(): Link[] {
    const { view, mesh } = this.options;
    const { leader, members } = view.cluster.value;
    const first = leader === null ? 0 : Math.max(0, members.indexOf(leader));
    const ordered = [...members.slice(first), ...members.slice(0, first)];
    const links: Link[] = [];
    for (const address of ordered) {
      const link = mesh.getLink(address).current;
      if (link && link.silence <= SUSPECT_MS) links.push(link);
      if (links.length === SCHEDULER_COUNT) break;
    }
    return links;
  }

  /** Does not ask a scheduler for a while, because it did not answer. */
  pause(link: Link): void {
    this.pausedUntil.set(link, performance.now() + PAUSE_MS);
  }

  isPaused(link: Link): boolean {
    return (this.pausedUntil.get(link) ?? 0) > performance.now();
  }
}
