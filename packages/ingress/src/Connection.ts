/** Why a server closes a connection. */
export type CloseReason = 'evicted' | 'idle' | 'head' | 'reader' | 'ahead' | 'drain';

export interface ConnectionOptions {
  /** Address of the client, without the port. */
  address: string;
  /** Monotonic time in ms at which the connection was accepted. */
  now: number;
  close: (reason: CloseReason) => void;
  getProgress: () => ReaderProgress;
}

/** How far the reader of a connection has got. */
export interface ReaderProgress {
  /** Bytes of responses that the network has taken over. */
  takenBytes: number;
  /** Bytes of responses that it has not taken over yet. */
  waitingBytes: number;
}

/** One connection of a client. */
export class Connection {
  private openCount = 0;

  private isHeldBack = false;

  private isEnding = false;

  private drainedBytes = 0;

  private idleStart: number;

  private headStart: number | undefined;

  private takenBytes = 0;

  private stuckSince: number | undefined;

  constructor(private readonly options: ConnectionOptions) {
    this.idleStart = options.now;
  }

  get address(): string {
    return this.options.address;
  }

  /** Number of requests whose responses have not ended. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Number of requests that wait behind the one being served. */
  get requestsAhead(): number {
    return Math.max(0, this.openCount - 1);
  }

  /** True while bytes are held back from the parser. */
  get isHeld(): boolean {
    return this.isHeldBack;
  }

  /** True if the connection ends after the responses to the requests parsed so far. */
  get isClosing(): boolean {
    return this.isEnding;
  }

  /** Bytes of the last request that arrived after its response had ended. */
  get drained(): number {
    return this.drainedBytes;
  }

  hold(): void {
    this.isHeldBack = true;
  }

  release(): void {
    this.isHeldBack = false;
  }

  endAfterResponses(): void {
    this.isEnding = true;
  }

  beginRequest(): void {
    this.openCount += 1;
    this.drainedBytes = 0;
    this.headStart = undefined;
  }

  endRequest(now: number): void {
    this.openCount -= 1;
    this.idleStart = now;
  }

  recordDrain(byteCount: number): void {
    this.drainedBytes += byteCount;
  }

  /** Records that a part of a head has arrived. */
  receiveHead(now: number): void {
    this.headStart ??= now;
  }

  close(reason: CloseReason): void {
    this.options.close(reason);
  }

  /** Milliseconds since the connection was accepted or its last response ended. */
  getIdleMs(now: number): number {
    return now - this.idleStart;
  }

  /** Milliseconds since the first bytes of a head that has not ended yet. */
  getHeadMs(now: number): number {
    return this.headStart === undefined ? 0 : now - this.headStart;
  }

  /** Milliseconds for which the reader has taken none of the bytes that wait, as seen by the calls. */
  getStuckMs(now: number): number {
    const { takenBytes, waitingBytes } = this.options.getProgress();
    const isStuck = waitingBytes > 0 && takenBytes === this.takenBytes;
    this.takenBytes = takenBytes;
    if (isStuck) this.stuckSince ??= now;
    else this.stuckSince = undefined;
    return this.stuckSince === undefined ? 0 : now - this.stuckSince;
  }
}
