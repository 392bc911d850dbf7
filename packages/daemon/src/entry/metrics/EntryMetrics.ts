import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { IntervalHistogram } from 'node:perf_hooks';
import { collectDefaultMetrics, Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import type { Outcome, Priority } from '@azurecart/protocol';
import { getLengthClass } from './getLengthClass.js';
import { CustomerSizeClassifier } from './CustomerSizeClassifier.js';

/** Properties of a prompt from which its metric labels are derived. */
export interface PromptMetricAttributes {
  customer: string;
  priority: Priority;
  promptTokens: number;
}

const PROMPT_LABEL_NAMES = ['priority', 'length', 'customer'] as const;
const DURATION_BUCKETS_SECONDS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10, 30, 60, 300];
const LOOP_DELAY_RESOLUTION_MS = 5;
const NANOSECONDS_PER_MS = 1e6;

/** Metrics of an entry process. The cardinality of the labels does not depend on client input. */
export class EntryMetrics {
  private readonly timeToFirstToken: Histogram<(typeof PROMPT_LABEL_NAMES)[number]>;

  private readonly requestDuration: Histogram<(typeof PROMPT_LABEL_NAMES)[number]>;

  private readonly queueTime: Histogram<'priority' | 'length'>;

  private readonly outcomes: Counter<'priority' | 'code' | 'outcome'>;

  private readonly tokens: Counter<'priority' | 'kind'>;

  private readonly retries: Counter<'reason'>;

  private readonly customerSizeClassifier = new CustomerSizeClassifier();

  private readonly loopDelay: IntervalHistogram;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    const labelNames = [...PROMPT_LABEL_NAMES];
    this.timeToFirstToken = new Histogram({
      name: 'azurecart_first_token_seconds',
      help: 'Time to first token',
      labelNames,
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    });
    this.requestDuration = new Histogram({
      name: 'azurecart_request_seconds',
      help: 'Time to the end of the answer',
      labelNames,
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    });
    this.queueTime = new Histogram({
      name: 'azurecart_queue_seconds',
      help: 'Time in the queue of a shard owner',
      labelNames: ['priority', 'length'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    });
    this.outcomes = new Counter({
      name: 'azurecart_requests_total',
      help: 'Requests by what the client was told',
      labelNames: ['priority', 'code', 'outcome'],
      registers,
    });
    // Counts completed requests only.
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
    this.loopDelay = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS });
    this.loopDelay.enable();
    this.addLoopDelayGauges();
    collectDefaultMetrics({ register: registry });
  }

  recordFirstToken(prompt: PromptMetricAttributes, ms: number): void {
    this.timeToFirstToken.observe(this.getLabels(prompt), ms / 1000);
  }

  recordQueueTime(prompt: PromptMetricAttributes, ms: number): void {
    const { priority, length } = this.getLabels(prompt);
    this.queueTime.observe({ priority, length }, ms / 1000);
  }

  /** Records a request that was answered completely. */
  recordCompletion(prompt: PromptMetricAttributes, completionTokens: number, ms: number): void {
    this.customerSizeClassifier.add(prompt.customer, prompt.promptTokens + completionTokens);
    this.requestDuration.observe(this.getLabels(prompt), ms / 1000);
    this.tokens.inc({ priority: prompt.priority, kind: 'prompt' }, prompt.promptTokens);
    this.tokens.inc({ priority: prompt.priority, kind: 'answer' }, completionTokens);
  }

  recordOutcome(priority: Priority | 'none', code: string, outcome: Outcome): void {
    this.outcomes.inc({ priority, code, outcome });
  }

  recordRetry(reason: string): void {
    this.retries.inc({ reason });
  }

  /** Adds a gauge whose value is read when the metrics are collected. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /**
   * Adds gauges of the event-loop delay since the start of the process. The histogram has the
   * intervals between the ticks of a timer, so the interval of the timer is subtracted.
   */
  private addLoopDelayGauges(): void {
    const readPercentileMs = (percentile: number): number =>
      Math.max(
        this.loopDelay.percentile(percentile) / NANOSECONDS_PER_MS - LOOP_DELAY_RESOLUTION_MS,
        0,
      );
    this.addGauge('azurecart_loop_delay_p50_ms', 'Median event-loop delay', () =>
      readPercentileMs(50),
    );
    this.addGauge('azurecart_loop_delay_p99_ms', 'Event-loop delay, p99', () =>
      readPercentileMs(99),
    );
    this.addGauge('azurecart_loop_delay_max_ms', 'Longest event-loop delay', () =>
      readPercentileMs(100),
    );
  }

  private getLabels(
    prompt: PromptMetricAttributes,
  ): Record<(typeof PROMPT_LABEL_NAMES)[number], string> {
    return {
      priority: prompt.priority,
      length: getLengthClass(prompt.promptTokens),
      customer: this.customerSizeClassifier.isLarge(prompt.customer) ? 'large' : 'small',
    };
  }
}
