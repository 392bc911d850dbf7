/**
 * Stored data is damaged in a way that a torn write cannot explain. The disk of the replica must be
 * wiped, and the replica must rejoin as a new member.
 */
export class CorruptStorageError extends Error {
  override readonly name = 'CorruptStorageError';
}
