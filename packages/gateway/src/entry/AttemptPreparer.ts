import type { Logger } from '@azurecart/telemetry';
import type { AttemptOutcome } from './AttemptOutcome.js';
import { MemoryReservationGroup } from './memory/index.js';
import type { EngineCommandClient } from './memory/index.js';
import type { PlacedHelper, Placer } from './Placement.js';
import { PreparedAttempt } from './PreparedAttempt.js';
import type { RequestContext } from './RequestContext.js';
import type { UpstreamStatements } from './UpstreamStatements.js';

export interface AttemptPreparerOptions {
  placer: Placer;
  statements: UpstreamStatements;
  commandClient: EngineCommandClient;
  logger: Logger;
}

/** An outcome of an attempt that was not sent. */
export type PreparationFailure = Extract<AttemptOutcome, { kind: 'refused' | 'notRun' }>;

/** Chooses upstreams for attempts and reserves the memory that they need on helpers. */
export class AttemptPreparer {
  constructor(private readonly options: AttemptPreparerOptions) {}

  /**
   * Prepares the next attempt at a request.
   * @param signal - Ends the preparation, which then fails.
   */
  async prepare(
    context: RequestContext,
    signal: AbortSignal,
  ): Promise<PreparedAttempt | PreparationFailure> {
    const { placer, statements } = this.options;
    const request = context.getPlacementRequest();
    const placement = await placer.place(request, signal);
    if (placement.kind === 'refused') return placement;
    const { upstream, helpers, jobId, expectedMs, isScheduled = false } = placement;
    const handle = placer.track(request, upstream, jobId);
    const memory = signal.aborted
      ? undefined
      : await this.reserveMemory(context, upstream.id, helpers, signal);
    if (!memory || signal.aborted) {
      handle.release('orderly');
      memory?.release();
      const reason = signal.aborted ? String(signal.reason) : 'engine memory not granted';
      return { kind: 'notRun', reason };
    }
    const attempt = new PreparedAttempt({
      upstream,
      helpers,
      handle,
      memory,
      expectedMs,
      isScheduled,
    });
    if (statements.isOpen(upstream)) return attempt;
    context.recordFailedPlacement(upstream.id);
    attempt.release();
    return { kind: 'notRun', reason: 'upstream accepts no requests any more' };
  }

  private async reserveMemory(
    context: RequestContext,
    upstreamId: string,
    helpers: PlacedHelper[],
    signal: AbortSignal,
  ): Promise<MemoryReservationGroup | undefined> {
    const { commandClient, logger } = this.options;
    const acquiring = MemoryReservationGroup.acquire({ helpers, commandClient, logger });
    const memory = await Promise.race([acquiring, waitForAbort(signal)]);
    // A group that is acquired after the preparation has ended is not used.
    if (signal.aborted && !memory) acquiring.then((late) => late?.release()).catch(() => undefined);
    if (!memory && !signal.aborted) context.recordFailedPlacement(upstreamId);
    return memory;
  }
}

function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(undefined), { once: true });
  });
}
