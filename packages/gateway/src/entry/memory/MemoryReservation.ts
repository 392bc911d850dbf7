import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import type { EngineCommandClient } from './EngineCommandClient.js';

/** The engine and the amount of memory to reserve. */
export interface MemoryReservationOptions {
  upstream: UpstreamRecord;
  /** Unique id of the reservation. */
  ticket: string;
  tokens: number;
  commandClient: EngineCommandClient;
  logger: Logger;
}

/** Time to live of a reservation in milliseconds, so that none outlives a process that crashes. */
const RESERVATION_TTL_MS = 3800;
/** Milliseconds between renewals; one lost renewal does not let the reservation expire. */
const RENEW_INTERVAL_MS = 1500;
/** Milliseconds for which an engine may still execute a command that was not answered. */
const LATE_EXECUTION_MS = 13_000;
/** Milliseconds between releases; ten fit into the 4 s in which memory must be released. */
const RELEASE_INTERVAL_MS = 400;

/** A reservation of memory on one engine, renewed until it is released. */
export class MemoryReservation {
  private readonly releaseController = new AbortController();

  /** Monotonic time in milliseconds until which an unanswered command may still be executed. */
  private uncertainUntil = 0;

  /** True once the engine has responded to a release, with whatever status. */
  private isReleaseAnswered = false;

  constructor(private readonly options: MemoryReservationOptions) {}

  get address(): string {
    return this.options.upstream.address;
  }

  get ticket(): string {
    return this.options.ticket;
  }

  /** Reserves the memory or renews the reservation; false if the engine does not confirm it. */
  async reserve(): Promise<boolean> {
    const { upstream, ticket, tokens, commandClient } = this.options;
    const status = await commandClient.send(upstream, {
      kind: 'reserve',
      ticket,
      tokens,
      holdMs: RESERVATION_TTL_MS,
    });
    if (status === undefined) this.uncertainUntil = performance.now() + LATE_EXECUTION_MS;
    return status === 200;
  }

  /** Renews the reservation until it is released, then sends releases until one is answered. */
  async run(): Promise<void> {
    const { logger, ticket, upstream } = this.options;
    while (!this.releaseController.signal.aborted) {
      await sleep(RENEW_INTERVAL_MS, undefined, { signal: this.releaseController.signal }).catch(
        () => undefined,
      );
      if (this.releaseController.signal.aborted) break;
      if (!(await this.reserve()))
        logger.warn({ upstream: upstream.id, ticket }, 'memory reservation not renewed');
    }
    await this.releaseUntilAnswered();
  }

  /** Ends the renewal; `run` then releases the memory. */
  release(): void {
    this.releaseController.abort();
  }

  /**
   * Sends releases until one is answered, and after an answer until `uncertainUntil`, as an
   * unanswered reserve command may be executed late and reserve the memory again. A release may
   * remain unanswered too, so the next one does not wait for it. After `LATE_EXECUTION_MS` without a
   * response it gives up without a log message.
   */
  private async releaseUntilAnswered(): Promise<void> {
    const giveUpAt = Math.max(this.uncertainUntil, performance.now() + LATE_EXECUTION_MS);
    while (performance.now() < giveUpAt) {
      if (this.isReleaseAnswered && performance.now() >= this.uncertainUntil) return;
      this.sendRelease().catch(this.logReleaseFailure);
      await sleep(RELEASE_INTERVAL_MS);
    }
  }

  private async sendRelease(): Promise<void> {
    const { commandClient, upstream, ticket } = this.options;
    const status = await commandClient.send(upstream, { kind: 'release', ticket });
    if (status !== undefined) this.isReleaseAnswered = true;
  }

  private readonly logReleaseFailure = (error: unknown): void => {
    this.options.logger.error({ err: error, ticket: this.ticket }, 'release command failed');
  };
}
