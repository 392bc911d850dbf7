import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../load/index.js';

/** Sends requests with random interarrival times until the run is over, and waits for their ends. */
export async function generateLoad(
  send: () => Promise<void>,
  perSecond: number,
  random: Random,
  isOver: () => boolean,
): Promise<void> {
  const pending = new Set<Promise<void>>();
  while (!isOver()) {
    await sleep(random.nextInterarrivalMs(perSecond));
    const sending = send().finally(() => pending.delete(sending));
    pending.add(sending);
  }
  await Promise.all(pending);
}
