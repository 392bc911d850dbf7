/** One whole event of a stream. */
export interface StreamEvent {
  id: string | undefined;
  bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Cuts a stream of bytes into whole events and leaves the bytes as they are. */
export class EventCutter {
  private rest: Buffer = Buffer.alloc(0);

  /** Adds bytes and gets the events that are complete. */
  read(chunk: Buffer): StreamEvent[] {
    const bytes = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      events.push({ id: getEventId(event), bytes: event });
      start = end;
    }
    this.rest = bytes.subarray(start);
    return events;
  }

  /** True when bytes of an unfinished event are held. */
  get hasPartial(): boolean {
    return this.rest.length > 0;
  }
}

/** Finds the position after the empty line that ends an event; -1 when there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
  let lineStart = from;
  let at = bytes.indexOf(LINE_FEED, from);
  while (at !== -1) {
    const isEmpty =
      at === lineStart || (at === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isEmpty && at > from + 1) return at + 1;
    lineStart = at + 1;
    at = bytes.indexOf(LINE_FEED, lineStart);
  }
  return -1;
}

function getEventId(event: Buffer): string | undefined {
  return /^id: ?([^\r\n]*)/m.exec(event.toString('latin1'))?.[1];
}
