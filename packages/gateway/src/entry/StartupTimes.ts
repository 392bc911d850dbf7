import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import type { Logger } from '@azurecart/telemetry';

/** What a process has to do until it serves. */
export type StartupPhase = 'listening' | 'configuration' | 'firstAnswer';

/** Options of {@link StartupTimes}. */
export interface StartupTimesOptions {
  registry: Registry;
  logger: Logger;
  /** Milliseconds since the start of the process. */
  now?: () => number;
}

const MS_PER_SECOND = 1000;

/** Records when a process first listened, had a configuration and answered with success. */
export class StartupTimes {
  private readonly times = new Map<StartupPhase, number>();

  private readonly gauge: Gauge;

  constructor(private readonly options: StartupTimesOptions) {
    this.gauge = new Gauge({
      name: 'azurecart_gateway_startup_seconds',
      help: 'Time from the start of the process to the end of a phase of its start',
      labelNames: ['phase'],
      registers: [options.registry],
    });
  }

  /** Records the end of a phase; only the first one counts. */
  record(phase: StartupPhase): void {
    if (this.times.has(phase)) return;
    const { now = () => performance.now(), logger } = this.options;
    const time = now();
    this.times.set(phase, time);
    this.gauge.set({ phase }, time / MS_PER_SECOND);
    logger.info({ phase, sinceStartMs: Math.round(time) }, 'start phase ended');
  }
}
