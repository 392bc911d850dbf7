/**
 * An invariant was violated or the disk failed, so the replica has stopped and must not continue.
 * Also thrown for a message that a stopped replica receives or that is addressed to another
 * replica; the latter is not fatal to the replica that received it.
 */
export class FatalError extends Error {
  override readonly name = 'FatalError';
}
