/** A write or sync failed. What is on the disk is unknown, so the write is never retried. */
export class StorageFault extends Error {
  override readonly name = 'StorageFault';
}
