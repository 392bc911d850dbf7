import { createHash } from 'node:crypto';

/** Gets the shard of an upstream: rendezvous hashing, so that a new count moves few of them. */
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
