import type { IncomingMessage } from 'node:http';
import type { MemoryHolder } from '@azurecart/scheduling';
import { BodyTooLargeError } from './BodyTooLargeError.js';
import { ByteAccumulator } from './ByteAccumulator.js';
import { OutOfMemoryError } from './OutOfMemoryError.js';

/** Factor by which the buffer of a body of unknown length grows. */
const GROWTH_FACTOR = 8;

export interface BodyOptions {
  maxBytes: number;
  /** Holds the memory of the body. */
  holder: MemoryHolder;
  /** Gets the signal that ends a wait for memory. */
  getWaitSignal: () => AbortSignal;
  /** Called with the length of each chunk. */
  onChunk?: (byteCount: number) => void;
}

/**
 * Reads a whole body; reads no further while there is no memory for it.
 * @throws BodyTooLargeError if it exceeds the limit.
 * @throws OutOfMemoryError if the wait for memory ends without any.
 * @throws Error of the connection if it ends before the body.
 */
export async function readBody(message: IncomingMessage, options: BodyOptions): Promise<Buffer> {
  const { maxBytes, holder, getWaitSignal, onChunk } = options;
  const body = createAccumulator(message, maxBytes);
  // The connection is kept, so that an error can still be sent on it.
  for await (const chunk of message.iterator({ destroyOnReturn: false })) {
    const bytes = chunk as Buffer;
    onChunk?.(bytes.length);
    if (body.length + bytes.length > maxBytes)
      throw new BodyTooLargeError(`body exceeds ${maxBytes} bytes`);
    const growth = body.getGrowth(bytes.length);
    const hasMemory = holder.tryGrow(growth) || (await holder.grow(growth, getWaitSignal()));
    if (!hasMemory) throw new OutOfMemoryError('no memory for the body');
    body.append(bytes);
  }
  return body.bytes;
}

/** Creates an accumulator that grows to a declared length at once, so that it is not copied again. */
function createAccumulator({ headers }: IncomingMessage, maxBytes: number): ByteAccumulator {
  const declaredBytes = headers['content-length'];
  return declaredBytes === undefined
    ? new ByteAccumulator(maxBytes, GROWTH_FACTOR)
    : new ByteAccumulator(Math.min(maxBytes, Number(declaredBytes)), Infinity);
}
