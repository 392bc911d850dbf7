import { setTimeout as sleep } from 'node:timers/promises';
import { GroupResult } from './GroupResult.js';
import type { Arrival } from './generateArrivals.js';
import { PromptClient } from './PromptClient.js';
import type { PromptResult } from './PromptClient.js';
import type { Random } from './Random.js';

/**
 * Number of loads that this process has started. It is part of the names of the prompts, so that no
 * load finds prompts of an earlier one in the prefix caches.
 */
let runCount = 0;

/**
 * Sends each request at its arrival time, whether or not earlier ones have been answered
 * (open loop), to a random URL; resolves once all are answered.
 */
export async function runLoad(
  arrivals: Arrival[],
  urls: string[],
  random: Random,
): Promise<Map<string, GroupResult>> {
  runCount += 1;
  const client = new PromptClient();
  const results = new Map<string, GroupResult>();
  arrivals.forEach(({ group }) => results.set(group, results.get(group) ?? new GroupResult()));
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  for (const [index, arrival] of arrivals.entries()) {
    const waitMs = arrival.atMs - (performance.now() - startedAt);
    if (waitMs > 1) await sleep(waitMs);
    const { group, ...prompt } = arrival;
    const name = `${runCount} ${group} ${index}`;
    const sending = client.send({ ...prompt, url: random.pick(urls), name });
    const recordResult = (result: PromptResult): void =>
      results.get(group)?.add(result, performance.now() - startedAt);
    pending.push(sending.then(recordResult));
  }
  await Promise.all(pending);
  client.close();
  return results;
}
