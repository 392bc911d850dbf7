/**
 * An invariant was violated or the disk failed, so the replica has stopped and must not continue.
 * Also rejects messages to a stopped replica or to another replica.
 */
export class FatalFault extends Error {
  override readonly name = 'FatalFault';
}
