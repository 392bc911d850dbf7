/** An invariant does not hold, or the disk failed: the replica has stopped and must not go on. */
export class FatalFault extends Error {
  override readonly name = 'FatalFault';
}
