import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decode, encode } from '@msgpack/msgpack';

/** A message on a link. The ID matches a response to its call; it is 0 for other kinds. */
export type Frame = [kind: FrameKind, id: number, method: string, body: unknown];

/** Kinds of frames; the numbers are part of the wire format. */
export enum FrameKind {
  Call = 0,
  Response = 1,
  Error = 2,
  Notification = 3,
  Ping = 4,
  /** Another frame, encoded and compressed with raw DEFLATE as the body. */
  Compressed = 5,
}

const LENGTH_PREFIX_BYTES = 4;
/**
 * Maximum size of a received frame in bytes. The control server accepts documents of up to the same
 * size, but one of nearly that size does not fit into a frame. The sender does not check the size;
 * the receiver closes the link.
 */
const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Size in bytes from which a frame is worth the time to compress it. */
const MIN_COMPRESSED_BYTES = 4096;
/** The fastest level; higher ones take several times as long for the same documents. */
const COMPRESSION_LEVEL = 1;

/** Options of {@link encodeFrame}. */
export interface EncodingOptions {
  /** Compresses the frame if it is large. */
  compresses?: boolean;
}

/** Encodes a frame as MessagePack behind a 4-byte big-endian length prefix. */
export function encodeFrame(frame: Frame, { compresses = false }: EncodingOptions = {}): Buffer {
  const plain = encode(frame, { ignoreUndefined: true });
  const body = compresses && plain.length >= MIN_COMPRESSED_BYTES ? compress(plain) : plain;
  const bytes = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_PREFIX_BYTES);
  return bytes;
}

function compress(plain: Uint8Array): Uint8Array {
  const deflated = deflateRawSync(plain, { level: COMPRESSION_LEVEL });
  const frame: Frame = [FrameKind.Compressed, 0, '', deflated];
  return deflated.length < plain.length ? encode(frame) : plain;
}

function decodeFrame(bytes: Uint8Array): Frame {
  const frame = decode(bytes) as Frame;
  const [kind, , , body] = frame;
  if (kind !== FrameKind.Compressed) return frame;
  const plain = inflateRawSync(body as Uint8Array, { maxOutputLength: MAX_FRAME_BYTES });
  return decode(plain) as Frame;
}

/** Incremental decoder that splits a byte stream into frames. */
export class FrameReader {
  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  /**
   * Appends a chunk and returns the frames that it completes.
   * @throws RangeError when a frame, compressed or not, exceeds the limit.
   * @throws An error of zlib or the MessagePack decoder when the body of a frame is malformed.
   */
  read(chunk: Buffer): Frame[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const frames: Frame[] = [];
    for (let frame = this.readFrame(); frame; frame = this.readFrame()) frames.push(frame);
    return frames;
  }

  private readFrame(): Frame | undefined {
    if (this.bufferedBytes < LENGTH_PREFIX_BYTES) return undefined;
    const first = this.chunks[0];
    if (!first) return undefined;
    const prefix = first.length >= LENGTH_PREFIX_BYTES ? first : this.concatenateChunks();
    const length = prefix.readUInt32BE(0);
    if (length > MAX_FRAME_BYTES)
      throw new RangeError(`frame of ${length} bytes exceeds the limit`);
    if (this.bufferedBytes < LENGTH_PREFIX_BYTES + length) return undefined;
    const bytes = this.concatenateChunks();
    const rest = bytes.subarray(LENGTH_PREFIX_BYTES + length);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    return decodeFrame(bytes.subarray(LENGTH_PREFIX_BYTES, LENGTH_PREFIX_BYTES + length));
  }

  private concatenateChunks(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first) return first;
    const buffer = Buffer.concat(this.chunks);
    this.chunks = [buffer];
    return buffer;
  }
}
