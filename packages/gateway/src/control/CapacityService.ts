import type { UpstreamTable } from '@azurecart/discovery';
import { CapacityEstimator } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { Link } from '../links/index.js';
import { METHODS } from './messages.js';
import type { DurationsReport, SlowdownsUpdate } from './messages.js';

/** Options of a {@link CapacityService}. */
export interface CapacityServiceOptions {
  table: UpstreamTable;
  logger: Logger;
  /** Gets the monotonic time in milliseconds. */
  now?: () => number;
}

/** What is known of the upstreams of one service. */
interface ServiceCapacity {
  estimator: CapacityEstimator;
  /** Upstreams that were slower or faster than their peers at the last notification. */
  deviating: Set<string>;
}

/**
 * Estimates how much the upstreams of each service take well, from what all entry processes observe,
 * and tells the entry processes.
 * @remarks The state is soft: a process that becomes the scheduler learns it within seconds.
 */
export class CapacityService {
  private readonly services = new Map<string, ServiceCapacity>();

  constructor(private readonly options: CapacityServiceOptions) {}

  /**
   * Gets the estimator of a service.
   * @param comparesKinds - True if durations are ratios to expected ones.
   */
  getEstimator(service: string, comparesKinds: boolean): CapacityEstimator {
    const known = this.services.get(service);
    if (known) return known.estimator;
    const { now = () => performance.now() } = this.options;
    const estimator = new CapacityEstimator({ now, comparesKinds });
    this.services.set(service, { estimator, deviating: new Set() });
    return estimator;
  }

  recordDurations({ service, kinds, totals }: DurationsReport): void {
    const estimator = this.getEstimator(service, false);
    for (const [upstream, index, count, sum, sumOfSquares] of totals) {
      const kind = kinds[index];
      const isKnown = this.options.table.getUpstream(upstream)?.service === service;
      if (kind !== undefined && isKnown)
        estimator.recordSummary({ upstream, kind, count, sum, sumOfSquares });
    }
  }

  /** Tells entry processes which upstreams deviate, and once if none does any more. */
  publish(links: Iterable<Pick<Link, 'notify'>>): void {
    const { table } = this.options;
    for (const [service, { estimator, deviating }] of this.services) {
      estimator.retain((id) => table.getUpstream(id) !== undefined);
      const changes = estimator.getDeviating();
      const wasDeviating = deviating.size > 0;
      this.logChanges(service, changes, deviating);
      const slowdowns = changes
        .filter(({ slowdown }) => slowdown !== 1)
        .map(({ upstream, slowdown }): [string, number] => [upstream, slowdown]);
      const update: SlowdownsUpdate = { service, slowdowns };
      if (slowdowns.length > 0 || wasDeviating)
        for (const link of links) link.notify(METHODS.slowdowns, update);
    }
  }

  private logChanges(
    service: string,
    changes: ReturnType<CapacityEstimator['getDeviating']>,
    deviating: Set<string>,
  ): void {
    const { logger } = this.options;
    const present = new Set(changes.map(({ upstream }) => upstream));
    for (const { upstream, slowdown, limitShare } of changes) {
      if (!deviating.has(upstream))
        logger.info(
          { service, upstream, slowdown, limitShare },
          'upstream is slower or faster than its peers',
        );
      deviating.add(upstream);
    }
    for (const upstream of deviating) {
      if (present.has(upstream)) continue;
      deviating.delete(upstream);
      logger.info({ service, upstream }, 'upstream is like its peers again');
    }
  }
}
