/** A write or sync failed. The resulting disk contents are unknown, so writes are never retried. */
export class StorageError extends Error {
  override readonly name = 'StorageFault';
}
