import { crc32 } from 'node:zlib';
import { CorruptStorage } from '../errors/index.js';

const HEADER_BYTES = 8;

/** Complete frames of a file and the length up to which it is intact. */
export interface Frames {
  payloads: Buffer[];
  intactBytes: number;
}

/** Encodes a payload as a frame: length, CRC-32, payload. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt32BE(crc32(payload), 4);
  return Buffer.concat([header, payload]);
}

/**
 * Decodes all frames of a file.
 * @remarks A frame cut short by the end of the file, or a tail of zero bytes, was never synced and
 * is left out. A whole frame with a wrong checksum may have been acknowledged, so it is an error.
 * @throws CorruptStorage when a whole frame fails its checksum.
 */
export function decodeFrames(file: Buffer, name: string): Frames {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= file.length) {
    const length = file.readUInt32BE(offset);
    const start = offset + HEADER_BYTES;
    if (isZero(file, offset) || start + length > file.length) break;
    const payload = file.subarray(start, start + length);
    if (crc32(payload) !== file.readUInt32BE(offset + 4)) {
      throw new CorruptStorage(`${name}: wrong checksum of the record at byte ${offset}`);
    }
    payloads.push(payload);
    offset = start + length;
  }
  return { payloads, intactBytes: offset };
}

function isZero(file: Buffer, from: number): boolean {
  return file.subarray(from).every((byte) => byte === 0);
}
