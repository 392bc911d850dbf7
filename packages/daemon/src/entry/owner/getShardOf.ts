import { createHash } from 'node:crypto';

/** Assigns an upstream to a shard by rendezvous hashing: a new count moves few upstreams. */
export function getShardOf(upstream: string, dataCentre: string, count: number): string {
  let best = 0;
  let bestScore = -1;
  for (let index = 0; index < count; index += 1) {
    const score = createHash('sha256').update(`${upstream} ${index}`).digest().readUInt32BE(0);
    if (score > bestScore) {
      best = index;
      bestScore = score;
    }
  }
  return `${dataCentre}/${best}`;
}
