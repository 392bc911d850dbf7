import type { UpstreamTable } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import type { Service } from '../configuration/index.js';
import type { Findings } from '../findings/index.js';

/** Options of {@link UpstreamLimits}. */
export interface UpstreamLimitsOptions {
  table: UpstreamTable;
  findings: Findings;
  /** Gets a service of the configuration in force. */
  getService: (name: string) => Service | undefined;
  logger: Logger;
}

/**
 * Limits that hold for the requests of all entry processes together: those that upstreams have
 * named, and those of cold upstreams, which the configuration of their service states.
 */
export class UpstreamLimits {
  private loggedIds = new Set<string>();

  constructor(private readonly options: UpstreamLimitsOptions) {}

  /** Gets the limit that an upstream has named, in requests per second. */
  getNamedLimit(upstream: string): number | undefined {
    return this.options.findings.limits.getLimit(upstream);
  }

  /** Gets the requests per second that a cold upstream bears; undefined if it is not cold. */
  getColdLimit(upstream: string): number | undefined {
    return this.options.table.getColdMs(upstream) > 0 ? this.getLimitIfCold(upstream) : undefined;
  }

  /** Gets the requests per second that an upstream bears whenever it is cold. */
  getLimitIfCold(upstream: string): number | undefined {
    const { table, getService } = this.options;
    const record = table.getUpstream(upstream);
    return record && getService(record.service)?.coldRequestsPerSecond;
  }

  /** Gets the ids of the upstreams that accept requests and have a limit because they are cold. */
  getColdIds(): string[] {
    return this.options.table
      .getRecords()
      .filter(({ id, state }) => state === 'ready' && this.getColdLimit(id) !== undefined)
      .map(({ id }) => id);
  }

  /** Logs which upstreams have become cold or warm since the last call. */
  logChanges(): void {
    const { table, logger } = this.options;
    const coldIds = new Set(this.getColdIds());
    for (const upstream of coldIds) {
      const requestsPerSecond = this.getColdLimit(upstream);
      const coldMs = Math.round(table.getColdMs(upstream));
      if (!this.loggedIds.has(upstream))
        logger.info({ upstream, requestsPerSecond, coldMs }, 'upstream is cold');
    }
    for (const upstream of this.loggedIds)
      if (!coldIds.has(upstream)) logger.info({ upstream }, 'upstream is no longer cold');
    this.loggedIds = coldIds;
  }
}
