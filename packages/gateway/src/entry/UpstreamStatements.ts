import type { UpstreamRecord } from '@azurecart/discovery';
import { BackoffTable } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { ClusterView } from './ClusterView.js';
import type { ResponseMetadata } from './EntryProtocol.js';

/** Options of {@link UpstreamStatements}. */
export interface UpstreamStatementsOptions {
  view: ClusterView;
  logger: Logger;
}

/** Statuses with which an upstream may ask for a pause, or which come from another upstream. */
const SERVICE_UNAVAILABLE = 503;
const MISDIRECTED_REQUEST = 421;

/**
 * What upstreams say of themselves in responses, whatever they respond to: that they leave, how many
 * requests they accept from all processes, and for how long they want none from this one. The first
 * two are told to other processes.
 */
export class UpstreamStatements {
  private readonly backoffs = new BackoffTable({ now: () => performance.now() });

  constructor(private readonly options: UpstreamStatementsOptions) {}

  /** Records the statements of a response that this upstream itself has sent. */
  record(upstream: UpstreamRecord, status: number, metadata: ResponseMetadata): void {
    // The address has passed to another upstream, which speaks for itself only.
    if (status === MISDIRECTED_REQUEST) return;
    const { view, logger } = this.options;
    const { id, bornAt } = upstream;
    if (metadata.isLeaving && view.recordDeparture(upstream))
      logger.info({ upstream: id }, 'upstream says that it leaves');
    const { requestsPerSecond, isSigned, retryAfterMs } = metadata;
    // Only the answer to an executed request lifts a limit, as a refusal may not name it.
    if (requestsPerSecond !== undefined || isSigned)
      view.findings.recordLimit(id, bornAt, requestsPerSecond);
    if (isSigned) this.backoffs.recordAcceptance(getKey(upstream));
    if (status !== SERVICE_UNAVAILABLE || retryAfterMs === undefined) return;
    this.backoffs.recordRefusal(getKey(upstream), retryAfterMs);
    logger.info({ upstream: id, retryAfterMs }, 'upstream wants no requests for now');
  }

  /** Records a request to an upstream. */
  recordSend(upstream: UpstreamRecord): void {
    this.backoffs.recordSend(getKey(upstream));
  }

  /**
   * Records an attempt that broke off. The upstream may have ended, and may be back under its id and
   * cold before it has announced so.
   */
  recordBreak(upstream: UpstreamRecord): void {
    this.options.view.upstreamTable.assumeCold(({ id }) => id === upstream.id);
  }

  /** Gets the milliseconds for which an upstream wants no requests from this process; 0 if none. */
  getWaitMs(upstream: UpstreamRecord): number {
    return this.backoffs.isEmpty ? 0 : this.backoffs.getWaitMs(getKey(upstream));
  }

  /** Gets the upstreams of a service that accept new requests but want none from this process now. */
  getPaused(service: string): UpstreamRecord[] {
    if (this.backoffs.isEmpty) return [];
    const ready = this.options.view.upstreamTable.getReady(service);
    return ready.filter((upstream) => this.getWaitMs(upstream) > 0);
  }

  /**
   * Returns true if a request may be sent to an upstream. It may have left, or asked for a pause,
   * since the request was placed, or its data centre may have been evacuated.
   */
  isOpen(upstream: UpstreamRecord): boolean {
    const { upstreamTable } = this.options.view;
    const known = upstreamTable.getUpstream(upstream.id);
    return known !== undefined && upstreamTable.isOpen(known.id) && this.getWaitMs(known) === 0;
  }

  /** Removes the statements of upstreams that are no longer known. */
  removeExpired(): void {
    const known = new Set(this.options.view.upstreamTable.getRecords().map(getKey));
    this.backoffs.retain((key) => known.has(key));
  }
}

/** Identifies an incarnation, since the next one under the same id has asked for nothing. */
function getKey({ id, bornAt }: UpstreamRecord): string {
  return `${id}@${bornAt}`;
}
