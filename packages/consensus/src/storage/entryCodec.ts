import type { LogEntryKind, LogEntry } from '../log/index.js';

const KINDS: readonly LogEntryKind[] = ['command', 'members', 'noop'];
const HEADER_BYTES = 17;

/** Encodes an entry as index (8 bytes), term (8 bytes), kind (1 byte) and payload. */
export function encodeEntry(entry: LogEntry): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(entry.index), 0);
  header.writeBigUInt64BE(BigInt(entry.term), 8);
  header.writeUInt8(KINDS.indexOf(entry.kind), 16);
  return Buffer.concat([header, entry.payload]);
}

/** Decodes an entry encoded by {@link encodeEntry}. An unknown kind is decoded as `noop`. */
export function decodeEntry(bytes: Buffer): LogEntry {
  return {
    index: Number(bytes.readBigUInt64BE(0)),
    term: Number(bytes.readBigUInt64BE(8)),
    kind: KINDS[bytes.readUInt8(16)] ?? 'noop',
    payload: bytes.subarray(HEADER_BYTES),
  };
}
