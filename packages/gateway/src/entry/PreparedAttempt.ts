import type { UpstreamRecord } from '@azurecart/discovery';
import type { JobEnding } from '@azurecart/scheduling';
import type { MemoryReservationGroup } from './memory/index.js';
import type { PlacedHelper, PlacementHandle } from './Placement.js';

export interface PreparedAttemptOptions {
  upstream: UpstreamRecord;
  helpers: PlacedHelper[];
  handle: PlacementHandle;
  memory: MemoryReservationGroup;
  /** The scheduler's estimate of the time to the first event in milliseconds. */
  expectedMs: number | undefined;
  /** True if a scheduler, which sees the requests of all entry processes, placed it. */
  isScheduled: boolean;
}

/** An attempt that can be sent at once: its upstream is chosen and memory on helpers is reserved. */
export class PreparedAttempt {
  constructor(readonly options: PreparedAttemptOptions) {}

  /**
   * Gives back the place at the upstream and the memory.
   * @param faultyHelperId - Id of the upstream at fault if it is a helper.
   */
  release(ending: JobEnding = 'orderly', faultyHelperId?: string): void {
    this.options.handle.release(ending, faultyHelperId);
    this.options.memory.release();
  }
}
