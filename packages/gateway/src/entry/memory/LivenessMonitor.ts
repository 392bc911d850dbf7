import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { EngineCommandClient } from './EngineCommandClient.js';

export interface LivenessMonitorOptions {
  upstream: UpstreamRecord;
  commandClient: EngineCommandClient;
  /** Called once when the upstream counts as unresponsive. */
  onUnresponsive: () => void;
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
 */
export class LivenessMonitor {
  private readonly stopController = new AbortController();

  constructor(private readonly options: LivenessMonitorOptions) {}

  /** Sends probes until stopped, or until the upstream counts as unresponsive. */
  async run(): Promise<void> {
    const { upstream, commandClient, onUnresponsive } = this.options;
    let unansweredProbes = 0;
    while (!this.stopController.signal.aborted) {
      await sleep(PROBE_INTERVAL_MS, undefined, { signal: this.stopController.signal }).catch(
        () => undefined,
      );
      if (this.stopController.signal.aborted) return;
      const status = await commandClient.send(upstream, { kind: 'report' });
      unansweredProbes = status === undefined ? unansweredProbes + 1 : 0;
      if (unansweredProbes < MAX_UNANSWERED_PROBES) continue;
      if (!this.stopController.signal.aborted) onUnresponsive();
      return;
    }
  }

  stop(): void {
    this.stopController.abort();
  }
}
