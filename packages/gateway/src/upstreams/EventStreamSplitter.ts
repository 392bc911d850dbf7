import { ByteAccumulator } from './ByteAccumulator.js';

/** A complete event of a `text/event-stream` response. */
export interface ServerSentEvent {
  /** Value of the event's `id` field. */
  id: string;
  /** Raw bytes of the event and of those without an id before it, with the empty lines that end them. */
  bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Maximum size of an event in bytes; bounds the memory that an event without end occupies. */
const MAX_EVENT_BYTES = 256 * 1024;

/**
 * Incrementally splits a `text/event-stream` body into complete events without changing bytes. What
 * has no id, such as a comment, belongs to the next event that has one.
 * @remarks Lines must end in LF or CR LF. A lone CR is not recognised as the end of a line,
 * although the format allows it.
 */
export class EventStreamSplitter {
  /** Bytes after the last event with an id. */
  private remainder = new ByteAccumulator();

  /** Offset of the incomplete event in the remainder; those before it have no id. */
  private eventStart = 0;

  /** Offset of the last line in the remainder. */
  private lineStart = 0;

  /**
   * Appends a chunk and returns the events that it completes.
   * @throws RangeError when the bytes after the last event with an id exceed the limit.
   */
  read(chunk: Buffer): ServerSentEvent[] {
    const scannedBytes = this.remainder.length;
    this.remainder.append(chunk);
    const { bytes } = this.remainder;
    const events: ServerSentEvent[] = [];
    let start = 0;
    let { eventStart, lineStart } = this;
    let newline = bytes.indexOf(LINE_FEED, scannedBytes);
    for (; newline !== -1; newline = bytes.indexOf(LINE_FEED, lineStart)) {
      const isEmpty =
        newline === lineStart ||
        (newline === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
      lineStart = newline + 1;
      // An empty line within the first two bytes precedes the event and does not end it.
      if (!isEmpty || newline <= eventStart + 1) continue;
      const id = getEventId(bytes.subarray(eventStart, lineStart));
      eventStart = lineStart;
      if (id === undefined) continue;
      events.push({ id, bytes: bytes.subarray(start, lineStart) });
      start = lineStart;
    }
    if (events.length > 0) this.keepRemainder(bytes.subarray(start));
    this.eventStart = eventStart - start;
    this.lineStart = lineStart - start;
    if (this.remainder.length > MAX_EVENT_BYTES)
      throw new RangeError(`event exceeds ${MAX_EVENT_BYTES} bytes`);
    return events;
  }

  /** True when the bytes received so far end in an incomplete event. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > this.eventStart;
  }

  /** Bytes of the complete events without an id that have come after the last event with one. */
  get trailingBytes(): Buffer {
    return this.remainder.bytes.subarray(0, this.eventStart);
  }

  private keepRemainder(bytes: Buffer): void {
    this.remainder = new ByteAccumulator();
    this.remainder.append(bytes);
  }
}

function getEventId(event: Buffer): string | undefined {
  return /^id: ?([^\r\n]*)/m.exec(event.toString('latin1'))?.[1];
}
