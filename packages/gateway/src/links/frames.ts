import { decode, encode } from '@msgpack/msgpack';

/** One message on a link: kind, number of the call, method, body. */
export type Frame = [kind: FrameKind, id: number, method: string, body: unknown];

/** What a frame is. */
export enum FrameKind {
  Call = 0,
  Answer = 1,
  Failure = 2,
  Notice = 3,
  Ping = 4,
}

const LENGTH_BYTES = 4;
/** Longest frame accepted in bytes: the longest configuration and some room. */
const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Encodes a frame: length, then the message. */
export function encodeFrame(frame: Frame): Buffer {
  const body = encode(frame, { ignoreUndefined: true });
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_BYTES);
  return bytes;
}

/** Cuts a stream of bytes into frames. */
export class FrameReader {
  private chunks: Buffer[] = [];

  private size = 0;

  /**
   * Adds bytes and gets the frames that are complete.
   * @throws RangeError when a frame is longer than allowed.
   */
  read(chunk: Buffer): Frame[] {
    this.chunks.push(chunk);
    this.size += chunk.length;
    const frames: Frame[] = [];
    for (let frame = this.take(); frame; frame = this.take()) frames.push(frame);
    return frames;
  }

  private take(): Frame | undefined {
    if (this.size < LENGTH_BYTES) return undefined;
    const first = this.chunks[0];
    if (!first) return undefined;
    const head = first.length >= LENGTH_BYTES ? first : this.join();
    const length = head.readUInt32BE(0);
    if (length > MAX_FRAME_BYTES) throw new RangeError(`frame of ${length} bytes`);
    if (this.size < LENGTH_BYTES + length) return undefined;
    const bytes = this.join();
    const rest = bytes.subarray(LENGTH_BYTES + length);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.size = rest.length;
    return decode(bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + length)) as Frame;
  }

  private join(): Buffer {
    const [only] = this.chunks;
    if (this.chunks.length === 1 && only) return only;
    const joined = Buffer.concat(this.chunks);
    this.chunks = [joined];
    return joined;
  }
}
