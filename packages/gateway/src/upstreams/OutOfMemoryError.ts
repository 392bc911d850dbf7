/** Thrown when the memory that a process may hold for others is used up. */
export class OutOfMemoryError extends Error {
  override readonly name = 'OutOfMemoryError';
}
