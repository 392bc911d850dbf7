import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from './index.js';

/** Gets the value of a process's metric, summed over all label sets; 0 if the metric is absent. */
export async function getMetric(url: string, name: string): Promise<number> {
  const text = await (await fetch(`${url}/metrics`)).text();
  const lines = text
    .split('\n')
    .filter((line) => line.startsWith(`${name} `) || line.startsWith(`${name}{`));
  return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

/** Gets the maximum of a metric over all entry processes. */
export async function getMaxMetric(fleet: Fleet, name: string): Promise<number> {
  const values = await Promise.all(fleet.entryUrls.map((url) => getMetric(url, name)));
  return Math.max(...values);
}

/** Gets the sum of a metric over all entry processes. */
export async function getMetricSum(fleet: Fleet, name: string): Promise<number> {
  const values = await Promise.all(fleet.entryUrls.map((url) => getMetric(url, name)));
  return values.reduce((sum, value) => sum + value, 0);
}

/** Waits up to 5 s until no tokens are reserved; gets the number that is still reserved. */
export async function getUnreleasedTokens(fleet: Fleet): Promise<number> {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    if ((await getMetricSum(fleet, 'azurecart_reserved_tokens')) === 0) return 0;
    await sleep(100);
  }
  return getMetricSum(fleet, 'azurecart_reserved_tokens');
}
