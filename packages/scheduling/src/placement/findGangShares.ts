import type { Engine } from '../ledger/index.js';
import type { MemoryShare } from './PlacementPolicy.js';

/**
 * Finds memory shares for a prompt larger than any single engine on a gang: several engines that
 * together have enough free memory.
 * @remarks All shares are allocated in one step by the only writer of the ledger, so two such
 * prompts cannot deadlock by each holding a part of the memory that the other needs.
 * @returns The shares, ordered by free memory, largest first; undefined when there is too little
 * free memory, or when a single engine has the capacity for the prompt.
 */
export function findGangShares(engines: Engine[], tokens: number): MemoryShare[] | undefined {
  if (engines.some((engine) => engine.capacity.kvTokens >= tokens)) return undefined;
  const byFree = [...engines].sort((a, b) => b.freeTokens - a.freeTokens);
  const shares: MemoryShare[] = [];
  let missing = tokens;
  for (const engine of byFree) {
    const held = Math.min(engine.freeTokens, missing);
    if (held <= 0) break;
    shares.push({ engine, tokens: held });
    missing -= held;
    if (missing === 0) return shares;
  }
  return undefined;
}
