import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { IntervalHistogram } from 'node:perf_hooks';
import { collectDefaultMetrics, Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import type { Outcome, Priority } from '@azurecart/protocol';
import { getLengthClass } from './getLengthClass.js';
import { TopTalkers } from './TopTalkers.js';

/** What is known of a prompt when it is measured. */
export interface MeasuredPrompt {
  customer: string;
  priority: Priority;
  promptTokens: number;
}

const LABELS = ['priority', 'length', 'customer'] as const;
const SECONDS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10, 30, 60, 300];
const LOOP_RESOLUTION_MS = 5;
const NANOSECONDS_PER_MS = 1e6;

/** The measures of an entry process. Label values are few, whatever clients send. */
export class Measures {
  private readonly firstToken: Histogram<(typeof LABELS)[number]>;

  private readonly duration: Histogram<(typeof LABELS)[number]>;

  private readonly queued: Histogram<'priority' | 'length'>;

  private readonly outcomes: Counter<'priority' | 'code' | 'outcome'>;

  private readonly tokens: Counter<'priority' | 'kind'>;

  private readonly retries: Counter<'reason'>;

  private readonly talkers = new TopTalkers();

  private readonly loopDelay: IntervalHistogram;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    const labelNames = [...LABELS];
    this.firstToken = new Histogram({
      name: 'azurecart_first_token_seconds',
      help: 'Time to first token',
      labelNames,
      buckets: SECONDS,
      registers,
    });
    this.duration = new Histogram({
      name: 'azurecart_request_seconds',
      help: 'Time to the end of the answer',
      labelNames,
      buckets: SECONDS,
      registers,
    });
    this.queued = new Histogram({
      name: 'azurecart_queue_seconds',
      help: 'Time in the queue of a shard owner',
      labelNames: ['priority', 'length'],
      buckets: SECONDS,
      registers,
    });
    this.outcomes = new Counter({
      name: 'azurecart_requests_total',
      help: 'Requests by what the client was told',
      labelNames: ['priority', 'code', 'outcome'],
      registers,
    });
    this.tokens = new Counter({
      name: 'azurecart_tokens_total',
      help: 'Tokens of prompts sent and of answers passed on',
      labelNames: ['priority', 'kind'],
      registers,
    });
    this.retries = new Counter({
      name: 'azurecart_retries_total',
      help: 'Further attempts of requests',
      labelNames: ['reason'],
      registers,
    });
    this.loopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
    this.loopDelay.enable();
    this.addLoopDelay();
    collectDefaultMetrics({ register: registry });
  }

  onFirstToken(prompt: MeasuredPrompt, ms: number): void {
    this.firstToken.observe(this.getLabels(prompt), ms / 1000);
  }

  onQueued(prompt: MeasuredPrompt, ms: number): void {
    const { priority, length } = this.getLabels(prompt);
    this.queued.observe({ priority, length }, ms / 1000);
  }

  /** Counts a prompt whose answer was whole. */
  onCompleted(prompt: MeasuredPrompt, answerTokens: number, ms: number): void {
    this.talkers.add(prompt.customer, prompt.promptTokens + answerTokens);
    this.duration.observe(this.getLabels(prompt), ms / 1000);
    this.tokens.inc({ priority: prompt.priority, kind: 'prompt' }, prompt.promptTokens);
    this.tokens.inc({ priority: prompt.priority, kind: 'answer' }, answerTokens);
  }

  onOutcome(priority: Priority | 'none', code: string, outcome: Outcome): void {
    this.outcomes.inc({ priority, code, outcome });
  }

  onRetry(reason: string): void {
    this.retries.inc({ reason });
  }

  /** Adds a gauge that is read when metrics are collected. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  private addLoopDelay(): void {
    const read = (percentile: number): number =>
      Math.max(this.loopDelay.percentile(percentile) / NANOSECONDS_PER_MS - LOOP_RESOLUTION_MS, 0);
    this.addGauge('azurecart_loop_delay_p50_ms', 'Median event-loop delay', () => read(50));
    this.addGauge('azurecart_loop_delay_p99_ms', 'Event-loop delay, p99', () => read(99));
    this.addGauge('azurecart_loop_delay_max_ms', 'Longest event-loop delay', () => read(100));
  }

  private getLabels(prompt: MeasuredPrompt): Record<(typeof LABELS)[number], string> {
    return {
      priority: prompt.priority,
      length: getLengthClass(prompt.promptTokens),
      customer: this.talkers.isLarge(prompt.customer) ? 'large' : 'small',
    };
  }
}
