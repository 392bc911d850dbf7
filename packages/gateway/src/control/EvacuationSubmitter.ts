import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from '@azurecart/telemetry';
import type { EvacuationOutcome } from './ControlInterface.js';
import type { EvacuationOrder, EvacuationResult } from './Evacuations.js';

/** Options of an {@link EvacuationSubmitter}. */
export interface EvacuationSubmitterOptions {
  /** Has the leader commit an order; rejects if no quorum is known to have it. */
  commit: (order: EvacuationOrder) => Promise<EvacuationResult>;
  /** Gets the revision that this process has applied. */
  getRevision: () => number;
  /** Returns false if a data centre certainly does not exist. */
  mayExist: (dataCentre: string) => boolean;
  logger: Logger;
  /** Milliseconds for which an order is tried; shorter than its sender waits for an answer. */
  timeoutMs?: number;
  /** Milliseconds between two attempts. */
  intervalMs?: number;
}

const DEFAULT_TIMEOUT_MS = 900;
const DEFAULT_INTERVAL_MS = 50;
const MAX_NAME_LENGTH = 200;

/**
 * Submits evacuations in the name of an operator who waits for the answer: through elections, and
 * while other orders change the revision. Once the operator no longer waits, nothing is proposed any
 * more, because a later order may be on its way through another process.
 */
export class EvacuationSubmitter {
  constructor(private readonly options: EvacuationSubmitterOptions) {}

  async submit(dataCentre: string, isEvacuated: boolean): Promise<EvacuationOutcome> {
    const { mayExist, logger, getRevision, timeoutMs = DEFAULT_TIMEOUT_MS } = this.options;
    if (dataCentre.length > MAX_NAME_LENGTH || !mayExist(dataCentre)) {
      logger.info({ dataCentre, isEvacuated }, 'evacuation of an unknown data centre refused');
      return { kind: 'unknownDataCentre' };
    }
    const endsAt = performance.now() + timeoutMs;
    let seenRevision = getRevision();
    while (performance.now() < endsAt) {
      const result = await this.tryCommit({ dataCentre, isEvacuated, seenRevision }, endsAt);
      if (result?.isInForce) {
        const { revision } = result;
        logger.info({ dataCentre, isEvacuated, revision }, 'evacuation committed');
        return { kind: 'accepted', revision };
      }
      seenRevision = Math.max(seenRevision, result?.revision ?? 0, getRevision());
      if (!result) await sleep(this.options.intervalMs ?? DEFAULT_INTERVAL_MS);
    }
    logger.warn({ dataCentre, isEvacuated }, 'evacuation not confirmed in time');
    return { kind: 'unknown', reason: 'no quorum confirmed it in time' };
  }

  /** Commits an order; undefined if it is unknown in time whether it was committed. */
  private async tryCommit(
    order: EvacuationOrder,
    endsAt: number,
  ): Promise<EvacuationResult | undefined> {
    const stopController = new AbortController();
    const remainingMs = Math.max(0, endsAt - performance.now());
    const timeout = sleep(remainingMs, undefined, { signal: stopController.signal });
    try {
      return await Promise.race([this.options.commit(order), timeout]);
    } catch (error) {
      this.options.logger.debug({ err: error, order }, 'attempt to commit an evacuation failed');
      return undefined;
    } finally {
      timeout.catch(() => undefined);
      stopController.abort();
    }
  }
}
