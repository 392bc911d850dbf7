/**
 * The replica cannot handle the request as leader. An application may also throw this where it
 * requires a valid lease. Nothing was proposed.
 */
export class NotLeaderError extends Error {
  override readonly name = 'NotLeaderError';

  /** @param leaderAddress - Address of the last known leader; undefined if there is none. */
  constructor(readonly leaderAddress: string | undefined) {
    super(`not the leader; last known leader: ${leaderAddress ?? 'none'}`);
  }
}
