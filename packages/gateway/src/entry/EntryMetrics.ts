import { Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import type { MemoryBudget } from '@azurecart/scheduling';
import type { ClusterView } from './ClusterView.js';

/**
 * Bucket bounds in seconds, from 0.025 (a tenth of the shortest latency objective, 250 ms) to 20
 * (the longest objective).
 */
const DURATION_BUCKETS_SECONDS = [0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20];

/** Histogram buckets for observed divided by expected time; 1 is a perfect prediction. */
const PREDICTION_RATIO_BUCKETS = [0.25, 0.5, 0.8, 0.9, 1.1, 1.2, 1.5, 2, 4];

export interface EntryMetricsOptions {
  registry: Registry;
  view: ClusterView;
  getOpenRequestCount: () => number;
  /** Gets the number of upstreams that are slower than their peers. */
  getSlowUpstreamCount?: () => number;
  /** Memory for bodies by the kind of message. */
  memory: { request: MemoryBudget; response: MemoryBudget };
}

/** Metrics of an entry process. Label values are bounded sets: kinds, priorities and outcomes. */
export class EntryMetrics {
  private readonly requests: Counter;

  private readonly durations: Histogram;

  private readonly firstEvents: Histogram;

  private readonly predictionRatios: Histogram;

  private readonly handovers: Counter;

  constructor({
    registry,
    view,
    getOpenRequestCount,
    getSlowUpstreamCount = () => 0,
    memory,
  }: EntryMetricsOptions) {
    const registers = [registry];
    this.requests = new Counter({
      name: 'azurecart_gateway_requests_total',
      help: 'Requests by kind and outcome',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    this.durations = new Histogram({
      name: 'azurecart_gateway_request_seconds',
      help: 'Time to the end of the answer',
      labelNames: ['kind'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    });
    this.firstEvents = new Histogram({
      name: 'azurecart_gateway_first_event_seconds',
      help: 'Time to the first event of a stream, by rank',
      labelNames: ['priority'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    });
    this.predictionRatios = new Histogram({
      name: 'azurecart_gateway_first_event_error_ratio',
      help: 'Time to the first event after sending, over the time that the scheduler expected',
      buckets: PREDICTION_RATIO_BUCKETS,
      registers,
    });
    this.handovers = new Counter({
      name: 'azurecart_gateway_handovers_total',
      help: 'Stalled attempts by whether another place was reserved for them',
      labelNames: ['place'],
      registers,
    });
    addGauge(registry, 'configuration_version', 'Version in force', () => view.version);
    addGauge(registry, 'open_requests', 'Requests in work', getOpenRequestCount);
    for (const [kind, budget] of Object.entries(memory)) {
      const help = `Bytes that bodies of ${kind}s hold`;
      addGauge(registry, `${kind}_bytes_held`, help, () => budget.usedBytes);
      const waiting = `Bodies of ${kind}s that wait for memory`;
      addGauge(registry, `${kind}_bodies_waiting`, waiting, () => budget.waitingCount);
    }
    addGauge(
      registry,
      'upstreams_ready',
      'Upstreams that take work',
      () => view.upstreamTable.getRecords().filter(({ state }) => state === 'ready').length,
    );
    addGauge(registry, 'upstreams_slow', 'Upstreams slower than their peers', getSlowUpstreamCount);
    addGauge(
      registry,
      'data_centres_evacuated',
      'Data centres whose upstreams get no new requests',
      () => view.evacuation?.dataCentres.length ?? 0,
    );
    addGauge(
      registry,
      'evacuation_revision',
      'Number of evacuations and returns in force',
      () => view.evacuation?.revision ?? 0,
    );
    addGauge(
      registry,
      'upstreams_cold',
      'Upstreams that take work and have a limit because they are cold',
      () => view.limits.getColdIds().length,
    );
    addGauge(
      registry,
      'prompt_parts_quarantined',
      'Prompt parts that have ended several engines',
      () => view.findings.poison.getQuarantined().length,
    );
  }

  recordRequest(kind: string, outcome: string, elapsedMs: number): void {
    this.requests.inc({ kind, outcome });
    this.durations.observe({ kind }, elapsedMs / MS_PER_SECOND);
  }

  /** Records observed divided by expected time to the first event; 1 is an exact estimate. */
  recordPredictionRatio(expectedMs: number, observedMs: number): void {
    this.predictionRatios.observe(observedMs / Math.max(1, expectedMs));
  }

  /** Records the search for another place for a stalled attempt. */
  recordHandover(place: 'reserved' | 'none'): void {
    this.handovers.inc({ place });
  }

  recordFirstEvent(priority: number, elapsedMs: number): void {
    this.firstEvents.observe({ priority: String(priority) }, elapsedMs / MS_PER_SECOND);
  }
}

const MS_PER_SECOND = 1000;

function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
  const gauge: Gauge = new Gauge({
    name: `azurecart_gateway_${name}`,
    help,
    registers: [registry],
    collect: () => gauge.set(read()),
  });
}
