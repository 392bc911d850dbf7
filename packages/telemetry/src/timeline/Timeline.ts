import { appendFile } from 'node:fs/promises';
import { bufferTime, filter, Subject } from 'rxjs';
import type { Observable } from 'rxjs';
import type { HybridClock } from '../clock/index.js';
import type { EventFields, TimelineEvent } from './TimelineEvent.js';

/** Options of a Timeline. */
export interface TimelineOptions {
  process: string;
  vm: string;
  clock: HybridClock;
  /** JSON lines file that events are appended to; none by default. */
  file?: string;
  /** Maximum number of events that getRecent returns; up to twice as many are kept in memory. */
  capacity?: number;
}

const MAX_RECENT_EVENTS = 20_000;
const FLUSH_MS = 200;

/**
 * Records the events of a process. Events are kept in memory in the order of their recording. They
 * are appended to the file in batches that do not wait for each other, so batches may be out of
 * order there; a batch that cannot be written is lost without an error.
 */
export class Timeline {
  private readonly recent: TimelineEvent[] = [];

  private readonly subject = new Subject<TimelineEvent>();

  constructor(private readonly options: TimelineOptions) {
    if (options.file) this.appendEventsTo(options.file);
  }

  /** Stream of events recorded from the time of subscription on. */
  get events(): Observable<TimelineEvent> {
    return this.subject.asObservable();
  }

  record(kind: string, fields: EventFields = {}): void {
    const { process, vm, clock } = this.options;
    const event: TimelineEvent = { at: clock.tick(), process, vm, kind, ...fields };
    this.recent.push(event);
    const capacity = this.options.capacity ?? MAX_RECENT_EVENTS;
    if (this.recent.length > capacity * 2) this.recent.splice(0, capacity);
    this.subject.next(event);
  }

  /** Gets the most recent events, oldest first. */
  getRecent(): TimelineEvent[] {
    return this.recent.slice(-(this.options.capacity ?? MAX_RECENT_EVENTS));
  }

  /** Completes the stream and starts to write buffered events to the file, without waiting for it. */
  close(): void {
    this.subject.complete();
  }

  private appendEventsTo(file: string): void {
    this.subject
      .pipe(
        bufferTime(FLUSH_MS),
        filter((events) => events.length > 0),
      )
      .subscribe((events) => {
        const lines = events.map((event) => `${JSON.stringify(event)}\n`).join('');
        appendFile(file, lines).catch(() => undefined);
      });
  }
}
