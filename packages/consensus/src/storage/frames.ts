import { crc32 } from 'node:zlib';
import { CorruptStorage } from '../errors/index.js';

const CHECKED_BYTES = 8;
const HEADER_BYTES = 12;

/** Complete frames of a file and the length up to which it is intact. */
export interface Frames {
  payloads: Buffer[];
  intactBytes: number;
}

/** Encodes a payload as a frame: length, CRC-32 of the payload, CRC-32 of these two, payload. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt32BE(crc32(payload), 4);
  header.writeUInt32BE(crc32(header.subarray(0, CHECKED_BYTES)), CHECKED_BYTES);
  return Buffer.concat([header, payload]);
}

/**
 * Decodes all frames of a file.
 * @remarks A frame cut short by the end of the file, or a tail of zero bytes, was never synced and
 * is left out. A whole frame with a wrong checksum may have been acknowledged, so it is an error.
 * @throws CorruptStorage when a whole header or frame fails its checksum.
 */
export function decodeFrames(file: Buffer, name: string): Frames {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= file.length) {
    if (isZero(file, offset)) break;
    const header = file.subarray(offset, offset + HEADER_BYTES);
    check(header.subarray(0, CHECKED_BYTES), header.readUInt32BE(CHECKED_BYTES), name, offset);
    const start = offset + HEADER_BYTES;
    const length = header.readUInt32BE(0);
    if (start + length > file.length) break;
    const payload = file.subarray(start, start + length);
    check(payload, header.readUInt32BE(4), name, offset);
    payloads.push(payload);
    offset = start + length;
  }
  return { payloads, intactBytes: offset };
}

function check(bytes: Buffer, checksum: number, name: string, offset: number): void {
  if (crc32(bytes) === checksum) return;
  throw new CorruptStorage(`${name}: wrong checksum of the record at byte ${offset}`);
}

function isZero(file: Buffer, from: number): boolean {
  return file.subarray(from).every((byte) => byte === 0);
}
