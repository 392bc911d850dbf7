/** File operations required by the storage layer. A write is durable once its promise resolves. */
export interface Disk {
  /** Reads a whole file; undefined if the file does not exist. */
  read(name: string): Promise<Buffer | undefined>;
  /** Appends bytes to a file and syncs it. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Truncates a file to a length and syncs it. */
  truncate(name: string, length: number): Promise<void>;
  /** Atomically replaces the contents of a file. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Closes all open file handles. */
  close(): Promise<void>;
}
