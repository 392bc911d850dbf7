import { RandomTurns } from '@azurecart/scheduling';
import type { Permit, PermitRequest } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import { METHODS } from '../control/messages.js';
import type { PermittedSend } from '../control/messages.js';
import type { ClusterView } from './ClusterView.js';
import type { SchedulerSelector } from './SchedulerSelector.js';

/** Options of a {@link PermitClient}. */
export interface PermitClientOptions {
  view: ClusterView;
  schedulers: SchedulerSelector;
  logger: Logger;
  /** Gets the monotonic time in milliseconds. */
  now?: () => number;
  /**
   * Returns true while this process hears of upstreams that turn cold. By default it does over the
   * link to any scheduler.
   */
  isInTouch?: () => boolean;
  /** Random numbers from 0 to 1, which decide on turns at cold upstreams. */
  random?: () => number;
}

interface OwnShare {
  permits: number;
  updatedAt: number;
}

/** Milliseconds beyond the wait of a request for which a scheduler is waited for. */
const ANSWER_TIMEOUT_MS = 150;
/**
 * Share of a limit that all entry processes together may use while no scheduler answers them. What
 * a scheduler granted just before counts in the same time.
 */
const UNSCHEDULED_SHARE = 0.4;
/** Delay in milliseconds before a client may retry if no scheduler has decided. */
const NO_SCHEDULER_RETRY_AFTER_MS = 500;
const MS_PER_SECOND = 1000;
const REFUSED: Permit = { kind: 'refused', retryAfterMs: NO_SCHEDULER_RETRY_AFTER_MS };

/**
 * Gets leave from a scheduler to send requests to upstreams with a limit, as the limit holds for all
 * entry processes together. Without a scheduler, this process uses its part of a share of the limit,
 * which it starts to save up when the scheduler is lost. A cold upstream is warm again before most
 * processes would have saved up a permit, so there they draw for turns. A process that is out of
 * touch treats each upstream as cold that may have become so unseen.
 */
export class PermitClient {
  private readonly ownShares = new Map<string, OwnShare>();

  private readonly turns: RandomTurns;

  private readonly now: () => number;

  constructor(private readonly options: PermitClientOptions) {
    this.now = options.now ?? (() => performance.now());
    this.turns = new RandomTurns({ now: this.now, random: options.random ?? Math.random });
  }

  isLimited(upstream: string): boolean {
    const { limits } = this.options.view;
    return (
      limits.getNamedLimit(upstream) !== undefined || this.getColdLimit(upstream) !== undefined
    );
  }

  /**
   * Asks the schedulers in turn; the upstreams are given in the order of preference.
   * @param signal - Ends the wait; a permit that comes later is not used.
   */
  async acquire(request: PermitRequest, signal: AbortSignal): Promise<Permit> {
    if (signal.aborted) return REFUSED;
    let stopWaiting: () => void = () => undefined;
    const aborted = new Promise<Permit>((resolve) => {
      stopWaiting = () => resolve(REFUSED);
      signal.addEventListener('abort', stopWaiting, { once: true });
    });
    try {
      return await Promise.race([this.ask(request), aborted]);
    } finally {
      signal.removeEventListener('abort', stopWaiting);
    }
  }

  private async ask(request: PermitRequest): Promise<Permit> {
    const { schedulers, logger } = this.options;
    const links = schedulers.getLinks();
    for (const link of links.filter((each) => !schedulers.isPaused(each))) {
      try {
        const timeoutMs = request.waitMs + ANSWER_TIMEOUT_MS;
        const permit = (await link.call(METHODS.permit, request, timeoutMs)) as Permit;
        this.ownShares.clear();
        if (permit.kind === 'granted') {
          const sent: PermittedSend = { upstream: permit.upstream };
          links
            .filter((other) => other !== link)
            .forEach((other) => other.notify(METHODS.sent, sent));
        }
        return permit;
      } catch (error) {
        schedulers.pause(link);
        logger.info({ err: error }, 'no permit from a scheduler');
      }
    }
    return this.takeOwnShare(request.upstreams);
  }

  private takeOwnShare(upstreams: string[]): Permit {
    this.turns.removeExpired();
    const upstream = upstreams.find((id) => this.takePermit(id));
    return upstream === undefined ? REFUSED : { kind: 'granted', upstream };
  }

  private takePermit(upstream: string): boolean {
    const { limits } = this.options.view;
    const namedLimit = limits.getNamedLimit(upstream);
    const share = namedLimit === undefined ? undefined : this.accrue(upstream, namedLimit);
    if (share && share.permits < 1) return false;
    const coldLimit = this.getColdLimit(upstream);
    if (coldLimit !== undefined && !this.turns.take(upstream, this.getOwnRate(coldLimit)))
      return false;
    if (share) share.permits -= 1;
    return true;
  }

  private getColdLimit(upstream: string): number | undefined {
    const { schedulers, view } = this.options;
    const { isInTouch = () => schedulers.getLinks().length > 0 } = this.options;
    return isInTouch() ? view.limits.getColdLimit(upstream) : view.limits.getLimitIfCold(upstream);
  }

  /** Gets the requests per second of a limit that this process may use without a scheduler. */
  private getOwnRate(limit: number): number {
    return (limit * UNSCHEDULED_SHARE) / Math.max(1, this.options.view.cluster.value.entries);
  }

  private accrue(upstream: string, limit: number): OwnShare {
    const now = this.now();
    const share = this.ownShares.get(upstream) ?? { permits: 0, updatedAt: now };
    share.permits = Math.min(
      1,
      share.permits + (this.getOwnRate(limit) * (now - share.updatedAt)) / MS_PER_SECOND,
    );
    share.updatedAt = now;
    this.ownShares.set(upstream, share);
    return share;
  }
}
