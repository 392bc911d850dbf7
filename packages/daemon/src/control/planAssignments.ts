import { createHash } from 'node:crypto';
import type { SessionRecord } from './SessionTable.js';

/** Input of {@link planAssignments}. */
export interface AssignmentInput {
  /** All shards, with or without an owner. */
  shards: string[];
  /** Session ids of the current owners, by shard. */
  sessionByShard: Map<string, string>;
  candidates: SessionRecord[];
}

/**
 * Chooses owners for the shards that have none.
 * @remarks Sessions in the shard's data centre are preferred, then those with the fewest shards,
 * then the one with the highest rendezvous hash.
 */
export function planAssignments(input: AssignmentInput): { shard: string; session: string }[] {
  const shardCounts = new Map<string, number>();
  input.sessionByShard.forEach((session) =>
    shardCounts.set(session, (shardCounts.get(session) ?? 0) + 1),
  );
  const unownedShards = input.shards.filter((shard) => !input.sessionByShard.has(shard));
  return unownedShards.flatMap((shard) => {
    const session = chooseSession(shard, input.candidates, shardCounts);
    if (!session) return [];
    shardCounts.set(session.id, (shardCounts.get(session.id) ?? 0) + 1);
    return [{ shard, session: session.id }];
  });
}

/**
 * Gets the names of all shards of the data centres.
 * @param count - Number of shards per data centre.
 */
export function getShardNames(dataCentres: string[], count: number): string[] {
  return dataCentres.flatMap((dataCentre) =>
    Array.from({ length: count }, (_, index) => `${dataCentre}/${index}`),
  );
}

function chooseSession(
  shard: string,
  candidates: SessionRecord[],
  shardCounts: Map<string, number>,
): SessionRecord | undefined {
  const dataCentre = shard.slice(0, shard.lastIndexOf('/'));
  const localSessions = candidates.filter((session) => session.dataCentre === dataCentre);
  const eligible = localSessions.length > 0 ? localSessions : [...candidates];
  const [best] = eligible.sort(
    (a, b) =>
      (shardCounts.get(a.id) ?? 0) - (shardCounts.get(b.id) ?? 0) ||
      getRendezvousHash(shard, b) - getRendezvousHash(shard, a),
  );
  return best;
}

function getRendezvousHash(shard: string, session: SessionRecord): number {
  return createHash('sha256').update(`${shard} ${session.vm}`).digest().readUInt32BE(0);
}
