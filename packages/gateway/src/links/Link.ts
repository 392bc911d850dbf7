import type { Socket } from 'node:net';
import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';
import { encodeFrame, FrameKind, FrameReader } from './frames.js';
import type { Frame } from './frames.js';
import { LinkFault } from './LinkFault.js';

/** Answers the calls of the other side. */
export type CallHandler = (body: unknown, link: Link) => unknown;

/** A message that needs no answer. */
export interface Notice {
  method: string;
  body: unknown;
  link: Link;
}

/** What a link is made of. */
export interface LinkOptions {
  socket: Socket;
  handlers: Map<string, CallHandler>;
  /** Milliseconds between heartbeats. */
  pingMs?: number;
  /** Milliseconds without any frame after which the link is closed. */
  silenceMs?: number;
}

interface PendingCall {
  resolve: (body: unknown) => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout;
}

const PING_MS = 400;
const SILENCE_MS = 1400;

/** One connection between two processes. Either side may call or notify the other. */
export class Link {
  private readonly pending = new Map<number, PendingCall>();

  private readonly reader = new FrameReader();

  private readonly notices = new Subject<Notice>();

  private nextId = 1;

  private heardAt = performance.now();

  private sentAt = performance.now();

  private readonly timer: NodeJS.Timeout;

  private isClosed = false;

  /** Resolves when the link has ended. */
  readonly ended: Promise<void>;

  private readonly end: () => void;

  constructor(private readonly options: LinkOptions) {
    const { socket } = options;
    let end: () => void = () => undefined;
    this.ended = new Promise((resolve) => {
      end = resolve;
    });
    this.end = end;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
    this.timer = setInterval(() => this.beat(), options.pingMs ?? PING_MS);
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** Milliseconds since the other side was last heard. */
  get silence(): number {
    return performance.now() - this.heardAt;
  }

  /** Gets the messages of the other side. */
  get received(): Observable<Notice> {
    return this.notices.asObservable();
  }

  /**
   * Calls the other side.
   * @throws LinkFault when no answer comes in time or the other side fails.
   */
  call(method: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (this.isClosed) return Promise.reject(new LinkFault('link is closed'));
    const id = this.nextId;
    this.nextId += 1;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.pending.delete(id);
        reject(new LinkFault(`${method}: no answer within ${timeoutMs} ms`));
      }, timeoutMs);
      this.pending.set(id, { resolve, reject, timer });
      this.send([FrameKind.Call, id, method, body]);
    });
  }

  /** Tells the other side something that needs no answer. */
  notify(method: string, body: unknown): void {
    if (!this.isClosed) this.send([FrameKind.Notice, 0, method, body]);
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.timer);
    this.options.socket.destroy();
    for (const call of this.pending.values()) {
      clearTimeout(call.timer);
      call.reject(new LinkFault('link was closed'));
    }
    this.pending.clear();
    this.notices.complete();
    this.end();
  }

  private send(frame: Frame): void {
    this.sentAt = performance.now();
    this.options.socket.write(encodeFrame(frame));
  }

  private beat(): void {
    if (this.silence > (this.options.silenceMs ?? SILENCE_MS)) this.close();
    else if (performance.now() - this.sentAt >= (this.options.pingMs ?? PING_MS) / 2)
      this.send([FrameKind.Ping, 0, '', null]);
  }

  private receive(chunk: Buffer): void {
    this.heardAt = performance.now();
    try {
      for (const frame of this.reader.read(chunk)) this.handle(frame);
    } catch {
      this.close();
    }
  }

  private handle([kind, id, method, body]: Frame): void {
    if (kind === FrameKind.Call) this.answer(id, method, body).catch(() => this.close());
    else if (kind === FrameKind.Notice) this.notices.next({ method, body, link: this });
    else if (kind === FrameKind.Answer) this.settle(id)?.resolve(body);
    else if (kind === FrameKind.Failure)
      this.settle(id)?.reject(new LinkFault(`${method}: ${String(body)}`));
  }

  private async answer(id: number, method: string, body: unknown): Promise<void> {
    try {
      const handler = this.options.handlers.get(method);
      if (!handler) throw new LinkFault('unknown method');
      const result: unknown = await handler(body, this);
      if (!this.isClosed) this.send([FrameKind.Answer, id, method, result ?? null]);
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      if (!this.isClosed) this.send([FrameKind.Failure, id, method, text]);
    }
  }

  private settle(id: number): PendingCall | undefined {
    const call = this.pending.get(id);
    if (!call) return undefined;
    clearTimeout(call.timer);
    this.pending.delete(id);
    return call;
  }
}
