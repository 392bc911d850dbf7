import type { RateLimiter } from './RateLimiter.js';

/** Options of a {@link PermitQueue}. */
export interface PermitQueueOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  limiter: RateLimiter;
}

/** Asks for leave to send one request to one of several upstreams. */
export interface PermitRequest {
  /** Ids of the upstreams, the preferred one first. */
  upstreams: string[];
  /** Priority; 0 is the highest. */
  priority: number;
  customer?: string;
  /** Milliseconds for which the request can wait. */
  waitMs: number;
}

/** Answer to a {@link PermitRequest}. */
export type Permit =
  { kind: 'granted'; upstream: string } | { kind: 'refused'; retryAfterMs: number };

interface WaitingRequest {
  request: PermitRequest;
  queuedAt: number;
  resolve: (permit: Permit) => void;
}

interface Grant {
  upstream: string;
  customer: string;
  priority: number;
  at: number;
}

const MS_PER_SECOND = 1000;
/** Bounds in milliseconds of the delay after which a refused request may come back. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 5000;
/** Milliseconds over which the permits of a customer count against it. */
const SHARE_WINDOW_MS = 10_000;

/**
 * Shares out the requests that upstreams with a limit accept: the most urgent first, then the
 * customer that was granted the fewest lately, then in the order of arrival. A request whose turn
 * would come too late is refused at once.
 */
export class PermitQueue {
  private waiting: WaitingRequest[] = [];

  private grants: Grant[] = [];

  constructor(private readonly options: PermitQueueOptions) {}

  /** Number of requests that wait. */
  get length(): number {
    return this.waiting.length;
  }

  /** Resolves when the request may be sent, or with a refusal. */
  request(request: PermitRequest): Promise<Permit> {
    return new Promise((resolve) => {
      const retryAfterMs = this.estimateWaitMs(request);
      const hasTurn = retryAfterMs <= request.waitMs;
      if (hasTurn) {
        this.waiting.push({ request, queuedAt: this.options.now(), resolve });
        this.decide();
      } else resolve(refuse(retryAfterMs));
    });
  }

  /** Grants what has become possible; call it periodically. */
  decide(): void {
    if (this.waiting.length === 0) return;
    const now = this.options.now();
    this.grants = this.grants.filter(({ at }) => now - at < SHARE_WINDOW_MS);
    const ordered = this.waiting.sort((a, b) => this.compare(a, b));
    this.waiting = [];
    for (const one of ordered) {
      const { request, queuedAt, resolve } = one;
      const isPaced = this.grants.some(
        (grant) => grant.priority < request.priority && request.upstreams.includes(grant.upstream),
      );
      const upstream = request.upstreams.find(
        (id) => this.options.limiter.getWaitMs(id, isPaced) === 0,
      );
      if (upstream !== undefined) {
        this.options.limiter.recordSend(upstream);
        const { customer = '', priority } = request;
        this.grants.push({ upstream, customer, priority, at: now });
        resolve({ kind: 'granted', upstream });
      } else if (now - queuedAt >= request.waitMs) resolve(refuse(this.estimateWaitMs(request)));
      else this.waiting.push(one);
    }
  }

  /** Estimates the milliseconds until a new request has its turn. */
  private estimateWaitMs({ upstreams, priority }: PermitRequest): number {
    const { limiter } = this.options;
    const nextMs = Math.min(...upstreams.map((id) => limiter.getWaitMs(id)));
    const ahead = this.waiting.filter(
      ({ request }) =>
        request.priority <= priority && request.upstreams.some((id) => upstreams.includes(id)),
    ).length;
    const perSecond = upstreams.reduce((sum, id) => sum + (limiter.getLimit(id) ?? Infinity), 0);
    return nextMs + (ahead === 0 ? 0 : (ahead / perSecond) * MS_PER_SECOND);
  }

  private compare(a: WaitingRequest, b: WaitingRequest): number {
    return (
      a.request.priority - b.request.priority ||
      this.countGrants(a.request) - this.countGrants(b.request) ||
      a.queuedAt - b.queuedAt
    );
  }

  private countGrants({ customer = '' }: PermitRequest): number {
    return this.grants.filter((grant) => grant.customer === customer).length;
  }
}

function refuse(retryAfterMs: number): Permit {
  return {
    kind: 'refused',
    retryAfterMs: Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryAfterMs)),
  };
}
