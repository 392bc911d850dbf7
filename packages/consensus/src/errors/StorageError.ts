/** A write or sync failed. The resulting disk contents are unknown, so writes are never retried. */
export class StorageError extends Error {
  /** Differs from the name of the class, because error texts sent to peers contain it. */
  override readonly name = 'StorageFault';
}
