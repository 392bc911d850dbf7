import { setTimeout as sleep } from 'node:timers/promises';
import type { GatewayProcess } from '../harness/index.js';
import type { Random } from '../load/index.js';
import type { Checks } from '../prove/Checks.js';
import { BOUNDS } from './Bounds.js';
import { CORE } from './Disturbances.js';
import type { Disturbances } from './Disturbances.js';
import type { RequestChecks } from './RequestChecks.js';
import { RUNNER_DATA_CENTRES } from './RunnerFleet.js';
import { sleepUnless } from './sleepUnless.js';

/** Options of an {@link EvacuationWorkload}. */
export interface EvacuationWorkloadOptions {
  controls: GatewayProcess[];
  random: Random;
  checks: Checks;
  disturbances: Disturbances;
  requests: RequestChecks;
}

interface Evacuation {
  dataCentre: string;
  acknowledgedAt: number;
  /** Monotonic time at which the withdrawal was first sent. */
  withdrawnAt: number;
}

const IDLE_MS: [number, number] = [500, 4000];
const DURATION_MS: [number, number] = [5500, 9000];
const CALL_TIMEOUT_MS = 1000;
const RESEND_MS = 100;
const GIVE_UP_MS = 30_000;
/** Stands for the status of a call without an answer. */
const NO_ANSWER = 503;

/** Evacuates data centres and takes them back, and checks that their runners get nothing meanwhile. */
export class EvacuationWorkload {
  private readonly evacuations: Evacuation[] = [];

  constructor(private readonly options: EvacuationWorkloadOptions) {}

  /** Evacuates one data centre after the other until the run is over; none remains evacuated. */
  async run(isOver: () => boolean): Promise<void> {
    const { random } = this.options;
    while (!isOver()) {
      await sleepUnless(isOver, random.nextInteger(...IDLE_MS));
      const dataCentre = random.pick([...RUNNER_DATA_CENTRES]);
      const isAcknowledged = await this.order('POST', dataCentre);
      const evacuation = { dataCentre, acknowledgedAt: performance.now(), withdrawnAt: Infinity };
      if (isAcknowledged) this.evacuations.push(evacuation);
      await sleepUnless(isOver, random.nextInteger(...DURATION_MS));
      evacuation.withdrawnAt = performance.now();
      await this.order('DELETE', dataCentre);
    }
  }

  /** Checks what runners in evacuated data centres got. */
  finish(): void {
    const { requests, disturbances, checks } = this.options;
    const arrivals = requests.getArrivals();
    this.evacuations.forEach(({ dataCentre, acknowledgedAt, withdrawnAt }) => {
      const dueAt = acknowledgedAt + BOUNDS.evacuateMs;
      const late = arrivals.filter(({ entry, run: { lifetime, record } }) => {
        const { receivedAt } = record;
        if (lifetime.dataCentre !== dataCentre) return false;
        if (receivedAt <= dueAt || receivedAt >= withdrawnAt) return false;
        return disturbances.areInTouch([entry, CORE], receivedAt, receivedAt);
      });
      checks.check('evacuated-data-centre-gets-nothing', late.length === 0, () =>
        late
          .map(({ entry, run: { lifetime, record } }) => {
            const sinceMs = Math.round(record.receivedAt - acknowledgedAt);
            return `${entry} to ${lifetime.slot} ${sinceMs} ms after the evacuation`;
          })
          .join(', '),
      );
    });
  }

  /** Sends an order to one control process after another until it is acknowledged, or given up. */
  private async order(method: 'POST' | 'DELETE', dataCentre: string): Promise<boolean> {
    const { checks, disturbances } = this.options;
    const sentAt = performance.now();
    let status = 0;
    while (status !== 200 && performance.now() < sentAt + GIVE_UP_MS) {
      if (status !== 0) await sleep(RESEND_MS);
      status = await this.send(method, dataCentre);
    }
    const tookMs = Math.round(performance.now() - sentAt);
    const dueAt = sentAt + Math.min(BOUNDS.acknowledgementMs, tookMs);
    const isInTime = status === 200 && tookMs <= BOUNDS.acknowledgementMs;
    if (disturbances.areInTouch([CORE], sentAt, dueAt))
      checks.check('evacuation-acknowledged-in-time', isInTime, () =>
        describe(method, dataCentre, `status ${status} after ${tookMs} ms`),
      );
    return status === 200;
  }

  /** Sends an order once; gets 503 if there is no answer. */
  private async send(method: string, dataCentre: string): Promise<number> {
    const { random, controls, checks } = this.options;
    const url = `http://${random.pick(controls).address}/api/evacuations/${dataCentre}`;
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const status = await fetch(url, { method, signal }).then(
      (response) => response.status,
      () => NO_ANSWER,
    );
    checks.check('evacuation-not-refused', status < 400 || status >= 500, () =>
      describe(method, dataCentre, `status ${status}`),
    );
    return status;
  }
}

function describe(method: string, dataCentre: string, detail: string): string {
  return `${method} ${dataCentre}: ${detail}`;
}
