import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { EngineCommandClient } from './EngineCommandClient.js';

export interface LivenessMonitorOptions {
  upstream: UpstreamRecord;
  commandClient: EngineCommandClient;
  /** Gets the milliseconds since the last event of the response; infinite before the first one. */
  getQuietMs: () => number;
  /** Called when the upstream counts as unresponsive; resolves with false to go on with probes. */
  onUnresponsive: () => Promise<boolean>;
}

/** Milliseconds between two probes. */
const PROBE_INTERVAL_MS = 700;
/**
 * Consecutive unanswered probes after which an upstream counts as unresponsive. With the timeout of
 * a command this takes 2.2 s, well within the 4 s in which memory on other engines must be
 * released.
 */
const MAX_UNANSWERED_PROBES = 2;

/**
 * Probes the engine to which a prompt was sent while other engines hold memory for it. If that
 * engine fails without closing its connection and the attempt has no stall timeout, nothing else
 * shows that the memory can be released.
 * @remarks An event of the response shows that the engine is alive, and so does a reset of the
 * connection of a probe: an engine that accepts no more connections still serves those it has.
 */
export class LivenessMonitor {
  private readonly stopController = new AbortController();

  constructor(private readonly options: LivenessMonitorOptions) {}

  /** Sends probes until stopped, or until the upstream is given up as unresponsive. */
  async run(): Promise<void> {
    const { upstream, commandClient, getQuietMs, onUnresponsive } = this.options;
    let unansweredProbes = 0;
    while (!this.stopController.signal.aborted) {
      await sleep(PROBE_INTERVAL_MS, undefined, { signal: this.stopController.signal }).catch(
        () => undefined,
      );
      if (this.stopController.signal.aborted) return;
      const sentAt = performance.now();
      const isAlive = await commandClient.isAlive(upstream);
      const hasProgressed = getQuietMs() < performance.now() - sentAt;
      unansweredProbes = isAlive || hasProgressed ? 0 : unansweredProbes + 1;
      if (unansweredProbes < MAX_UNANSWERED_PROBES) continue;
      if (this.stopController.signal.aborted || (await onUnresponsive())) return;
      unansweredProbes = 0;
    }
  }

  stop(): void {
    this.stopController.abort();
  }
}
