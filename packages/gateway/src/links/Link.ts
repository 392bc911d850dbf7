import type { Socket } from 'node:net';
import { Subject } from 'rxjs';
import { encodeFrame, FrameKind, FrameReader } from './frames.js';
import type { Frame } from './frames.js';
import { LinkError } from './LinkError.js';

/** Handles a call from the peer; what it returns or throws becomes the response. */
export type CallHandler = (body: unknown, link: Link) => unknown;

/** A one-way message from the peer. */
export interface Notification {
  method: string;
  body: unknown;
  link: Link;
}

/** Options of a {@link Link}. */
export interface LinkOptions {
  socket: Socket;
  handlers: Map<string, CallHandler>;
  /**
   * Interval in milliseconds between checks of the connection. A check sends a ping if nothing was
   * sent for half of the interval.
   */
  pingIntervalMs?: number;
  /** Milliseconds without incoming data after which the next check closes the link. */
  silenceTimeoutMs?: number;
}

interface PendingCall {
  resolve: (body: unknown) => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout;
}

/** Method of the notification with which each side of a link begins. */
const CAPABILITIES = 'capabilities';

/** What a peer understands; those of earlier versions send none and ignore it. */
interface Capabilities {
  inflates: boolean;
}

const PING_INTERVAL_MS = 400;
/** Three and a half ping intervals; a silent link is closed after 1.4 to 1.8 s. */
const SILENCE_TIMEOUT_MS = 1400;

/** A connection between two processes over which either side can call or notify the other. */
export class Link {
  private readonly pending = new Map<number, PendingCall>();

  private readonly reader = new FrameReader();

  private readonly notificationSubject = new Subject<Notification>();

  private nextId = 1;

  private lastReceivedAt = performance.now();

  private lastSentAt = performance.now();

  private readonly pingTimer: NodeJS.Timeout;

  private isClosed = false;

  /** True once the peer has said that it understands compressed frames. */
  private canCompress = false;

  /** Resolves when the link is closed. */
  readonly closed: Promise<void>;

  private readonly resolveClosed: () => void;

  constructor(private readonly options: LinkOptions) {
    const { socket } = options;
    let resolveClosed: () => void = () => undefined;
    this.closed = new Promise((resolve) => {
      resolveClosed = resolve;
    });
    this.resolveClosed = resolveClosed;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
    this.pingTimer = setInterval(
      () => this.closeOrPing(),
      options.pingIntervalMs ?? PING_INTERVAL_MS,
    );
    this.send([FrameKind.Notification, 0, CAPABILITIES, { inflates: true }]);
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** Milliseconds since data was last received from the peer. */
  get silenceMs(): number {
    return performance.now() - this.lastReceivedAt;
  }

  /**
   * Subscribes to the notifications from the peer until the link is closed. An exception of the
   * handler closes the link: the peer sends what this process does not understand.
   */
  subscribe(handler: (notification: Notification) => void): void {
    this.notificationSubject.subscribe((notification) => {
      try {
        handler(notification);
      } catch {
        this.close();
      }
    });
  }

  /**
   * Calls a method of the peer.
   * @throws LinkError when no response arrives in time, the handler fails or the link is closed.
   */
  call(method: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (this.isClosed) return Promise.reject(new LinkError('link is closed'));
    const id = this.nextId;
    this.nextId += 1;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.pending.delete(id);
        reject(new LinkError(`${method}: no answer within ${timeoutMs} ms`));
      }, timeoutMs);
      this.pending.set(id, { resolve, reject, timer });
      this.send([FrameKind.Call, id, method, body]);
    });
  }

  /** Sends a notification to the peer; does nothing when the link is closed. */
  notify(method: string, body: unknown): void {
    if (!this.isClosed) this.send([FrameKind.Notification, 0, method, body]);
  }

  /** Sends a frame that {@link encodeNotification} has encoded; does nothing when closed. */
  sendEncoded(bytes: Uint8Array): void {
    if (this.isClosed) return;
    this.lastSentAt = performance.now();
    this.options.socket.write(bytes);
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.pingTimer);
    this.options.socket.destroy();
    for (const call of this.pending.values()) {
      clearTimeout(call.timer);
      call.reject(new LinkError('link was closed'));
    }
    this.pending.clear();
    this.notificationSubject.complete();
    this.resolveClosed();
  }

  private send(frame: Frame): void {
    this.lastSentAt = performance.now();
    // Notifications go to many peers, each of which would take the time again.
    const compresses = this.canCompress && frame[0] !== FrameKind.Notification;
    this.options.socket.write(encodeFrame(frame, { compresses }));
  }

  private closeOrPing(): void {
    if (this.silenceMs > (this.options.silenceTimeoutMs ?? SILENCE_TIMEOUT_MS)) this.close();
    else if (
      performance.now() - this.lastSentAt >=
      (this.options.pingIntervalMs ?? PING_INTERVAL_MS) / 2
    )
      this.send([FrameKind.Ping, 0, '', null]);
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedAt = performance.now();
    try {
      for (const frame of this.reader.read(chunk)) this.handleFrame(frame);
    } catch {
      this.close();
    }
  }

  private handleFrame([kind, id, method, body]: Frame): void {
    if (kind === FrameKind.Call) this.handleCall(id, method, body).catch(() => this.close());
    else if (kind === FrameKind.Notification && method === CAPABILITIES)
      this.canCompress = (body as Capabilities).inflates;
    else if (kind === FrameKind.Notification)
      this.notificationSubject.next({ method, body, link: this });
    else if (kind === FrameKind.Response) this.takePendingCall(id)?.resolve(body);
    else if (kind === FrameKind.Error)
      this.takePendingCall(id)?.reject(new LinkError(`${method}: ${String(body)}`));
  }

  private async handleCall(id: number, method: string, body: unknown): Promise<void> {
    try {
      const handler = this.options.handlers.get(method);
      if (!handler) throw new LinkError('unknown method');
      const result: unknown = await handler(body, this);
      if (!this.isClosed) this.send([FrameKind.Response, id, method, result ?? null]);
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      if (!this.isClosed) this.send([FrameKind.Error, id, method, text]);
    }
  }

  private takePendingCall(id: number): PendingCall | undefined {
    const call = this.pending.get(id);
    if (!call) return undefined;
    clearTimeout(call.timer);
    this.pending.delete(id);
    return call;
  }
}

/** Encodes a notification, which can then be sent to many peers. */
export function encodeNotification(method: string, body: unknown): Uint8Array {
  return encodeFrame([FrameKind.Notification, 0, method, body], { compresses: false });
}
