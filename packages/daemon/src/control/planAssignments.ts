import { createHash } from 'node:crypto';
import type { SessionRecord } from './SessionTable.js';

/** What the owners of shards are chosen from. */
export interface AssignmentPlan {
  /** All shards that need an owner. */
  shards: string[];
  owned: Map<string, string>;
  candidates: SessionRecord[];
}

/**
 * Plans owners for the shards that have none.
 * @remarks A session in the shard's data centre goes before others, then the one with fewest
 * shards, then the highest rendezvous hash.
 */
export function planAssignments(plan: AssignmentPlan): { shard: string; session: string }[] {
  const load = new Map<string, number>();
  plan.owned.forEach((session) => load.set(session, (load.get(session) ?? 0) + 1));
  const free = plan.shards.filter((shard) => !plan.owned.has(shard));
  return free.flatMap((shard) => {
    const session = chooseSession(shard, plan.candidates, load);
    if (!session) return [];
    load.set(session.id, (load.get(session.id) ?? 0) + 1);
    return [{ shard, session: session.id }];
  });
}

/** Gets the names of the shards of some data centres. */
export function getShardNames(dataCentres: string[], count: number): string[] {
  return dataCentres.flatMap((dataCentre) =>
    Array.from({ length: count }, (_, index) => `${dataCentre}/${index}`),
  );
}

function chooseSession(
  shard: string,
  candidates: SessionRecord[],
  load: Map<string, number>,
): SessionRecord | undefined {
  const dataCentre = shard.slice(0, shard.lastIndexOf('/'));
  const local = candidates.filter((session) => session.dataCentre === dataCentre);
  const pool = local.length > 0 ? local : [...candidates];
  const [best] = pool.sort(
    (a, b) =>
      (load.get(a.id) ?? 0) - (load.get(b.id) ?? 0) || getScore(shard, b) - getScore(shard, a),
  );
  return best;
}

function getScore(shard: string, session: SessionRecord): number {
  return createHash('sha256').update(`${shard} ${session.vm}`).digest().readUInt32BE(0);
}
