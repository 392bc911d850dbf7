import { Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import type { View } from './View.js';

/** Bounds of the histograms in seconds, from a tenth of the shortest objective to the longest. */
const SECONDS = [0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20];

/** Bounds of observed over expected time; 1 is a perfect prediction. */
const RATIOS = [0.25, 0.5, 0.8, 0.9, 1.1, 1.2, 1.5, 2, 4];

/** What an entry process counts. Labels are bounded: kinds, ranks and outcomes. */
export class EntryMetrics {
  private readonly requests: Counter;

  private readonly durations: Histogram;

  private readonly firstEvents: Histogram;

  private readonly errors: Histogram;

  constructor(registry: Registry, view: View, getOpen: () => number) {
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
      buckets: SECONDS,
      registers,
    });
    this.firstEvents = new Histogram({
      name: 'azurecart_gateway_first_event_seconds',
      help: 'Time to the first event of a stream, by rank',
      labelNames: ['priority'],
      buckets: SECONDS,
      registers,
    });
    this.errors = new Histogram({
      name: 'azurecart_gateway_first_event_error_ratio',
      help: 'Time to the first event after sending, over the time that the scheduler expected',
      buckets: RATIOS,
      registers,
    });
    addGauge(registry, 'configuration_version', 'Version in force', () => view.version);
    addGauge(registry, 'open_requests', 'Requests in work', getOpen);
    addGauge(
      registry,
      'upstreams_ready',
      'Upstreams that take work',
      () => view.table.getRecords().filter(({ state }) => state === 'ready').length,
    );
  }

  addRequest(kind: string, outcome: string, elapsedMs: number): void {
    this.requests.inc({ kind, outcome });
    this.durations.observe({ kind }, elapsedMs / MS_PER_SECOND);
  }

  /** Compares a first event with what was expected of it. */
  addPrediction(expectedMs: number, observedMs: number): void {
    this.errors.observe(observedMs / Math.max(1, expectedMs));
  }

  addFirstEvent(priority: number, elapsedMs: number): void {
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
