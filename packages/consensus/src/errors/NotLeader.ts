/**
 * The replica cannot handle the request as leader: it does not lead, or it lacks a valid lease
 * where the host requires one. Nothing was proposed.
 */
export class NotLeader extends Error {
  override readonly name = 'NotLeader';

  /** @param leaderAddress - Address of the last known leader; undefined if there is none. */
  constructor(readonly leaderAddress: string | undefined) {
    super(`not the leader; last known leader: ${leaderAddress ?? 'none'}`);
  }
}
