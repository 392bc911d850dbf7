/** The replica asked is not a leader with a valid lease. Nothing was proposed. */
export class NotLeader extends Error {
  override readonly name = 'NotLeader';

  /** @param leaderAddress - Address of the leader, as far as this replica knows one. */
  constructor(readonly leaderAddress: string | undefined) {
    super(`not the leader; last known leader: ${leaderAddress ?? 'none'}`);
  }
}
