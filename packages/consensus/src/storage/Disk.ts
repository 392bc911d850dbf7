/** The file operations that storage needs; each one is durable when it resolves. */
export interface Disk {
  /** Reads a whole file; undefined when there is none. */
  read(name: string): Promise<Buffer | undefined>;
  /** Adds bytes to the end of a file and syncs it. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Cuts a file to a length and syncs it. */
  truncate(name: string, length: number): Promise<void>;
  /** Replaces a file as a whole, atomically. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Closes what is open. */
  close(): Promise<void>;
}
