import { setTimeout as sleep } from 'node:timers/promises';
import { GroupResult } from './GroupResult.js';
import type { Arrival } from './drawArrivals.js';
import { PromptClient } from './PromptClient.js';
import type { PromptResult } from './PromptClient.js';
import type { Random } from './Random.js';

let run = 0;

/** Sends arrivals at their times, whether or not earlier ones have been answered. */
export async function runLoad(
  arrivals: Arrival[],
  urls: string[],
  random: Random,
): Promise<Map<string, GroupResult>> {
  run += 1;
  const client = new PromptClient();
  const results = new Map<string, GroupResult>();
  arrivals.forEach(({ group }) => results.set(group, results.get(group) ?? new GroupResult()));
  const startedAt = performance.now();
  const open: Promise<void>[] = [];
  for (const [index, arrival] of arrivals.entries()) {
    const waitMs = arrival.atMs - (performance.now() - startedAt);
    if (waitMs > 1) await sleep(waitMs);
    const { group, ...prompt } = arrival;
    const name = `${run} ${group} ${index}`;
    const sending = client.send({ ...prompt, url: random.pick(urls), name });
    const note = (result: PromptResult): void =>
      results.get(group)?.add(result, performance.now() - startedAt);
    open.push(sending.then(note));
  }
  await Promise.all(open);
  client.close();
  return results;
}
