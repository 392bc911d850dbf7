import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import type { OrderClient } from './OrderClient.js';

/** Memory of one engine that a part of a prompt needs. */
export interface MemoryHoldOptions {
  upstream: UpstreamRecord;
  /** Name of the reservation; no other one has it. */
  ticket: string;
  tokens: number;
  orders: OrderClient;
  logger: Logger;
}

/** Milliseconds after which a reservation ends that nobody renews, so that none outlives its owner. */
const HOLD_MS = 3800;
/** Milliseconds between renewals; one may be lost without harm. */
const RENEW_MS = 1500;
/** Milliseconds for which an order without an answer may still be carried out. */
const LATE_ORDER_MS = 13_000;
/** Milliseconds between releases; ten fit into the time in which memory must be given back. */
const SWEEP_MS = 400;

/** Memory set aside at one engine, renewed until it is released. */
export class MemoryHold {
  private readonly ended = new AbortController();

  /** Monotonic time in milliseconds until which an unanswered order may be carried out. */
  private uncertainUntil = 0;

  /** True once the engine has confirmed the release. */
  private isReleased = false;

  constructor(private readonly options: MemoryHoldOptions) {}

  get address(): string {
    return this.options.upstream.address;
  }

  get ticket(): string {
    return this.options.ticket;
  }

  /** Sets the memory aside; false when the engine does not confirm it. */
  async reserve(): Promise<boolean> {
    const { upstream, ticket, tokens, orders } = this.options;
    const status = await orders.send(upstream, {
      kind: 'reserve',
      ticket,
      tokens,
      holdMs: HOLD_MS,
    });
    if (status === undefined) this.uncertainUntil = performance.now() + LATE_ORDER_MS;
    return status === 200;
  }

  /** Renews the reservation until it is released, then makes sure that nothing is left of it. */
  async run(): Promise<void> {
    const { logger, ticket, upstream } = this.options;
    while (!this.ended.signal.aborted) {
      await sleep(RENEW_MS, undefined, { signal: this.ended.signal }).catch(() => undefined);
      if (this.ended.signal.aborted) break;
      if (!(await this.reserve()))
        logger.warn({ upstream: upstream.id, ticket }, 'memory not renewed');
    }
    await this.sweep();
  }

  /** Ends the reservation. */
  release(): void {
    this.ended.abort();
  }

  /**
   * Releases until that is confirmed, and then as long as an unanswered order could set the memory
   * aside anew. A release may go unanswered too, so the next one does not wait for it.
   */
  private async sweep(): Promise<void> {
    const giveUpAt = Math.max(this.uncertainUntil, performance.now() + LATE_ORDER_MS);
    while (performance.now() < giveUpAt) {
      if (this.isReleased && performance.now() >= this.uncertainUntil) return;
      this.sendRelease().catch(this.logFault);
      await sleep(SWEEP_MS);
    }
  }

  private async sendRelease(): Promise<void> {
    const { orders, upstream, ticket } = this.options;
    const status = await orders.send(upstream, { kind: 'release', ticket });
    if (status !== undefined) this.isReleased = true;
  }

  private readonly logFault = (error: unknown): void => {
    this.options.logger.error({ err: error, ticket: this.ticket }, 'memory not released');
  };
}
