/** Options of a {@link ProcessLifetime}. */
export interface ProcessLifetimeOptions {
  /** Milliseconds between the start of the shutdown and the forced end of the process. */
  graceMs: number;
  now?: () => number;
}

/** A request, as far as it matters whether a process that shuts down can still serve it. */
export interface RequestDuration {
  /** Milliseconds until the request is answered at the latest. */
  deadlineMs: number;
  /** Milliseconds that such requests usually take. */
  expectedMs: number;
}

/** Time in ms within which the load balancer notices a shutdown and stops sending requests. */
const BALANCER_DELAY_MS = 2500;
/** Part of the grace period that is reserved for the exit of the process, in milliseconds. */
const EXIT_MARGIN_MS = 700;
/** Milliseconds before the exit at which requests that are still open are given up. */
const FINAL_RESPONSE_MARGIN_MS = 100;

/** Time that a process has left, which is unlimited until its shutdown begins. */
export class ProcessLifetime {
  private readonly now: () => number;

  private shutdownStartedAt: number | undefined;

  private isServiceOver = false;

  constructor(private readonly options: ProcessLifetimeOptions) {
    this.now = options.now ?? (() => performance.now());
  }

  get isShuttingDown(): boolean {
    return this.shutdownStartedAt !== undefined;
  }

  /** Milliseconds until the process starts to exit; infinite until the shutdown begins. */
  get exitMs(): number {
    if (this.shutdownStartedAt === undefined) return Infinity;
    return this.shutdownStartedAt + this.options.graceMs - EXIT_MARGIN_MS - this.now();
  }

  /** Milliseconds for which requests may run; infinite until the shutdown begins. */
  get serviceMs(): number {
    return this.exitMs - FINAL_RESPONSE_MARGIN_MS;
  }

  beginShutdown(): void {
    this.shutdownStartedAt ??= this.now();
  }

  /** Ends the service before the exit is due, as no request is left. */
  endService(): void {
    this.isServiceOver = true;
  }

  /**
   * Returns whether a request may be accepted: its deadline lies before the end of service, or the
   * load balancer may not have noticed the shutdown yet and the request will probably end in time.
   */
  canServe({ deadlineMs, expectedMs }: RequestDuration): boolean {
    if (this.shutdownStartedAt === undefined) return true;
    if (this.isServiceOver) return false;
    if (deadlineMs <= this.serviceMs) return true;
    const isBalancerUnaware = this.now() - this.shutdownStartedAt < BALANCER_DELAY_MS;
    return isBalancerUnaware && this.canFinish({ deadlineMs, expectedMs });
  }

  /**
   * Returns whether an accepted request may still be sent to an upstream: it will end, or probably
   * end, before the end of service.
   */
  canFinish({ deadlineMs, expectedMs }: RequestDuration): boolean {
    return Math.min(deadlineMs, expectedMs) <= this.serviceMs;
  }
}
