import type { Engine } from '../ledger/index.js';
import type { PlacedShare } from './Placement.js';

/**
 * Finds several engines that together have the memory for a prompt larger than any one of them.
 * @remarks All shares are found in one step by the only writer, so two such prompts cannot each
 * hold a part of what the other needs.
 * @returns The shares, the engine with the most free memory first; undefined when there is too
 * little, or when one engine could hold the prompt once it is free.
 */
export function findGang(engines: Engine[], tokens: number): PlacedShare[] | undefined {
  if (engines.some((engine) => engine.capacity.kvTokens >= tokens)) return undefined;
  const byFree = [...engines].sort((a, b) => b.freeTokens - a.freeTokens);
  const shares: PlacedShare[] = [];
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
