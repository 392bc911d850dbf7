import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { OrderClient } from './OrderClient.js';

/** What watches an upstream. */
export interface LivenessWatchOptions {
  upstream: UpstreamRecord;
  orders: OrderClient;
  /** Called once when the upstream does not answer. */
  onSilent: () => void;
}

/** Milliseconds between two questions. */
const PERIOD_MS = 700;
/**
 * Questions in a row without an answer after which an upstream counts as dead. With the time of an
 * order that is 2.2 s, well within the time in which memory at other engines must be given back.
 */
const MOST_FAILURES = 2;

/**
 * Asks the engine that leads a prompt of several whether it lives. When it dies silently, nothing
 * else would tell that the memory held for it at others is wanted no more.
 */
export class LivenessWatch {
  private readonly ended = new AbortController();

  constructor(private readonly options: LivenessWatchOptions) {}

  /** Asks until stopped, or until the upstream counts as dead. */
  async run(): Promise<void> {
    const { upstream, orders, onSilent } = this.options;
    let failures = 0;
    while (!this.ended.signal.aborted) {
      await sleep(PERIOD_MS, undefined, { signal: this.ended.signal }).catch(() => undefined);
      if (this.ended.signal.aborted) return;
      const status = await orders.send(upstream, { kind: 'report' });
      failures = status === undefined ? failures + 1 : 0;
      if (failures < MOST_FAILURES) continue;
      if (!this.ended.signal.aborted) onSilent();
      return;
    }
  }

  stop(): void {
    this.ended.abort();
  }
}
