import { crc32 } from 'node:zlib';
import { CorruptStorageError } from '../errors/index.js';

const CHECKSUMMED_BYTES = 8;
const HEADER_BYTES = 12;

/** Payloads of the intact frames of a file, and the length of the prefix that they occupy. */
export interface DecodedFrames {
  payloads: Buffer[];
  intactBytes: number;
}

/**
 * Encodes a payload as a frame: payload length, CRC-32 of the payload, CRC-32 of these two fields,
 * payload.
 */
export function encodeFrame(payload: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt32BE(crc32(payload), 4);
  header.writeUInt32BE(crc32(header.subarray(0, CHECKSUMMED_BYTES)), CHECKSUMMED_BYTES);
  return Buffer.concat([header, payload]);
}

/**
 * Decodes all frames of a file.
 * @remarks A power failure can leave the last write missing, truncated or torn. Its data was never
 * synced, hence never acknowledged, so a damaged tail is ignored. A last frame that was synced and
 * damaged later cannot be told apart from a torn one and is ignored too. A damaged frame followed
 * by an intact one may have been acknowledged, so it is an error.
 * @throws CorruptStorageError if a damaged frame is followed by an intact one.
 */
export function decodeFrames(file: Buffer, name: string): DecodedFrames {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= file.length) {
    if (isZeroFilled(file, offset)) break;
    const payload = readPayload(file, offset);
    if (!payload) {
      if (hasIntactFrameAfter(file, offset)) throw createCorruptionError(name, offset);
      break;
    }
    payloads.push(payload);
    offset += HEADER_BYTES + payload.length;
  }
  return { payloads, intactBytes: offset };
}

/** Reads the payload of the frame at an offset; undefined if the frame is truncated or damaged. */
function readPayload(file: Buffer, offset: number): Buffer | undefined {
  const start = offset + HEADER_BYTES;
  if (start > file.length) return undefined;
  const checksummed = file.subarray(offset, offset + CHECKSUMMED_BYTES);
  if (crc32(checksummed) !== file.readUInt32BE(offset + CHECKSUMMED_BYTES)) return undefined;
  const payload = file.subarray(start, start + file.readUInt32BE(offset));
  if (payload.length < file.readUInt32BE(offset)) return undefined;
  return crc32(payload) === file.readUInt32BE(offset + 4) ? payload : undefined;
}

function hasIntactFrameAfter(file: Buffer, damagedOffset: number): boolean {
  for (let offset = damagedOffset + 1; offset + HEADER_BYTES < file.length; offset += 1) {
    const payload = readPayload(file, offset);
    if (payload && payload.length > 0) return true;
  }
  return false;
}

function createCorruptionError(name: string, offset: number): CorruptStorageError {
  return new CorruptStorageError(
    `${name}: frame at byte offset ${offset} is corrupt, but an intact frame follows`,
  );
}

function isZeroFilled(file: Buffer, from: number): boolean {
  return file.subarray(from).every((byte) => byte === 0);
}
