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
 * @remarks A loss of power may leave the last write missing, cut or torn; what it held was never
 * synced and is left out. A damaged frame that an intact one follows may have been acknowledged, so
 * it is an error.
 * @throws CorruptStorage when a damaged frame is followed by an intact one.
 */
export function decodeFrames(file: Buffer, name: string): Frames {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= file.length) {
    if (isZero(file, offset)) break;
    const payload = readPayload(file, offset);
    if (!payload) {
      if (hasFrameAfter(file, offset)) throw createFault(name, offset);
      break;
    }
    payloads.push(payload);
    offset += HEADER_BYTES + payload.length;
  }
  return { payloads, intactBytes: offset };
}

/** Reads the payload of the frame at an offset; undefined when it is cut or damaged. */
function readPayload(file: Buffer, offset: number): Buffer | undefined {
  const start = offset + HEADER_BYTES;
  if (start > file.length) return undefined;
  const checked = file.subarray(offset, offset + CHECKED_BYTES);
  if (crc32(checked) !== file.readUInt32BE(offset + CHECKED_BYTES)) return undefined;
  const payload = file.subarray(start, start + file.readUInt32BE(offset));
  if (payload.length < file.readUInt32BE(offset)) return undefined;
  return crc32(payload) === file.readUInt32BE(offset + 4) ? payload : undefined;
}

function hasFrameAfter(file: Buffer, damaged: number): boolean {
  for (let offset = damaged + 1; offset + HEADER_BYTES < file.length; offset += 1) {
    const payload = readPayload(file, offset);
    if (payload && payload.length > 0) return true;
  }
  return false;
}

function createFault(name: string, offset: number): CorruptStorage {
  return new CorruptStorage(`${name}: the record at byte ${offset} is damaged`);
}

function isZero(file: Buffer, from: number): boolean {
  return file.subarray(from).every((byte) => byte === 0);
}
