import { appendFile } from 'node:fs/promises';
import { bufferTime, filter, Subject } from 'rxjs';
import type { Observable } from 'rxjs';
import type { HybridClock } from '../clock/index.js';
import type { EventFields, TimelineEvent } from './TimelineEvent.js';

/** Which process writes the events, and where. */
export interface TimelineOptions {
  process: string;
  vm: string;
  clock: HybridClock;
  /** JSON lines file; none when absent. */
  file?: string;
  /** Number of events kept for readers that come later. */
  capacity?: number;
}

const CAPACITY = 20_000;
const FLUSH_MS = 200;

/** The events of one process, in order. */
export class Timeline {
  private readonly recent: TimelineEvent[] = [];

  private readonly subject = new Subject<TimelineEvent>();

  constructor(private readonly options: TimelineOptions) {
    if (options.file) this.writeTo(options.file);
  }

  /** Gets the events as they happen. */
  get events(): Observable<TimelineEvent> {
    return this.subject.asObservable();
  }

  /** Records an event. */
  record(kind: string, fields: EventFields = {}): void {
    const { process, vm, clock } = this.options;
    const event: TimelineEvent = { at: clock.tick(), process, vm, kind, ...fields };
    this.recent.push(event);
    const capacity = this.options.capacity ?? CAPACITY;
    if (this.recent.length > capacity * 2) this.recent.splice(0, capacity);
    this.subject.next(event);
  }

  /** Gets the latest events, oldest first. */
  getRecent(): TimelineEvent[] {
    return this.recent.slice(-(this.options.capacity ?? CAPACITY));
  }

  /** Ends the stream of events and flushes the file. */
  close(): void {
    this.subject.complete();
  }

  private writeTo(file: string): void {
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
