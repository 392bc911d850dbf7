/** A complete event of a `text/event-stream` response. */
export interface ServerSentEvent {
  /** Value of the event's `id` field. */
  id: string | undefined;
  /** Raw bytes of the event, including the empty line that ends it. */
  bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Incrementally splits a `text/event-stream` body into complete events without changing bytes.
 * @remarks Lines must end in LF or CR LF. A lone CR is not recognised as the end of a line,
 * although the format allows it.
 */
export class EventStreamSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Appends a chunk and returns the events that it completes. */
  read(chunk: Buffer): ServerSentEvent[] {
    const bytes = this.remainder.length > 0 ? Buffer.concat([this.remainder, chunk]) : chunk;
    const events: ServerSentEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      events.push({ id: getEventId(event), bytes: event });
      start = end;
    }
    this.remainder = bytes.subarray(start);
    return events;
  }

  /** True when the bytes received so far end in an incomplete event. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > 0;
  }
}

/** Returns the offset after the empty line that ends the event, or -1 if it is incomplete. */
function findEventEnd(bytes: Buffer, from: number): number {
  let lineStart = from;
  let newline = bytes.indexOf(LINE_FEED, from);
  while (newline !== -1) {
    const isEmpty =
      newline === lineStart || (newline === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    // An empty line within the first two bytes precedes the event and does not end it.
    if (isEmpty && newline > from + 1) return newline + 1;
    lineStart = newline + 1;
    newline = bytes.indexOf(LINE_FEED, lineStart);
  }
  return -1;
}

function getEventId(event: Buffer): string | undefined {
  return /^id: ?([^\r\n]*)/m.exec(event.toString('latin1'))?.[1];
}
