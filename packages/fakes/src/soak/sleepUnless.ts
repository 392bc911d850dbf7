import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MS = 100;

/** Sleeps for some milliseconds, or until the run is over. */
export async function sleepUnless(isOver: () => boolean, ms: number): Promise<void> {
  const endAt = performance.now() + ms;
  while (!isOver() && performance.now() < endAt) await sleep(POLL_INTERVAL_MS);
}
