/* eslint-disable max-classes-per-file -- The job class is private to the simulation. */
import { LatencyModel } from '../../src/index.js';
import type { EngineDecision, EngineJob, PerformanceProfile } from '../../src/index.js';

/** Published performance figures of the engines. */
export const ENGINE_PROFILE: PerformanceProfile = {
  stepMs: 1.31,
  stepMsPerSequence: 0.00133,
  stepMsPerThousandContextTokens: 0.00213,
  prefillTokensPerSecond: 154_000,
  attentionMsPerMillionPairs: 0.162,
  stepsPerPass: 34,
  kvCacheTokens: 405_000,
};

/**
 * Maximum prefill time in milliseconds that is added to the decode steps of one pass: about that of
 * 34 steps with 2048 prompt tokens each, at 154,000 tokens per second.
 */
const PREFILL_PER_PASS_MS = 450;

/** A request of a simulated load. */
export interface Arrival {
  atMs: number;
  job: EngineJob;
  /** Number of events after the first one. */
  events: number;
}

/** A job, or a helper part of one, on a simulated engine. */
class SimulatedJob {
  emittedEvents = 0;

  isLate = false;

  private lastEventAt = 0;

  constructor(
    readonly arrival: Arrival,
    readonly isHelper: boolean,
    private remainingMs: number,
  ) {}

  get isPrefilled(): boolean {
    return this.remainingMs <= 0;
  }

  /** Prefills for at most the given milliseconds and returns the milliseconds used. */
  prefill(budgetMs: number): number {
    const usedMs = Math.min(budgetMs, Math.max(0, this.remainingMs));
    this.remainingMs -= usedMs;
    return usedMs;
  }

  /** Emits an event; the first one must meet the objective, later ones the pause limit. */
  emitEvent(at: number): void {
    const { job, atMs } = this.arrival;
    const isFirst = this.emittedEvents === 0;
    if (isFirst ? at - atMs > job.objectiveMs : at - this.lastEventAt > job.pauseMs)
      this.isLate = true;
    this.lastEventAt = at;
    this.emittedEvents += 1;
  }
}

/** A placement policy under simulation; it is notified of the progress of its jobs. */
export interface SchedulingPolicy {
  place(job: EngineJob): EngineDecision;
  markDecoding(id: string): void;
  release(id: string): void;
}

/** Share of requests on time, keyed by the objective of the requests in milliseconds. */
export type OnTimeShares = Map<number, number>;

/** Options of an {@link EngineSimulation}. */
export interface EngineSimulationOptions {
  /** Gets the time that an engine with a number of jobs takes, as a multiple of the modelled one. */
  getSlowdown?: (engine: string, jobs: number, at: number) => number;
  /** Notifies the policy of events when they are emitted; otherwise as soon as their pass begins. */
  notifiesOnTime?: boolean;
}

/**
 * Simulates engines that prefill prompts between the decode steps of a pass. A pass takes as long
 * as its decode steps plus the prefill that fits into it.
 */
export class EngineSimulation {
  now = 0;

  private readonly model = new LatencyModel(ENGINE_PROFILE);

  private readonly engines = new Map<string, { freeAt: number; jobs: SimulatedJob[] }>();

  private readonly onTimeIds = new Set<string>();

  private policy: SchedulingPolicy | undefined;

  private notifications: { at: number; notify: () => void }[] = [];

  constructor(
    engines: string[],
    private readonly options: EngineSimulationOptions = {},
  ) {
    engines.forEach((id) => this.engines.set(id, { freeAt: 0, jobs: [] }));
  }

  private readonly arrivals = new Map<string, Arrival>();

  /** Applies the decision on a job; only placements have an effect. */
  decide(id: string, decision: EngineDecision): void {
    const arrival = this.arrivals.get(id);
    if (!arrival || decision.kind !== 'placed') return;
    const parts = 1 + decision.helpers.length;
    const remainingMs = this.model.getPrefillMs(arrival.job.promptTokens) / parts;
    [decision.engine, ...decision.helpers.map((help) => help.engine)].forEach((engine, index) => {
      this.engines.get(engine)?.jobs.push(new SimulatedJob(arrival, index > 0, remainingMs));
    });
  }

  /** Simulates a load and returns the share of requests on time. */
  run(arrivals: Arrival[], policy: SchedulingPolicy, tick: () => void): OnTimeShares {
    this.policy = policy;
    const pending = [...arrivals].sort((a, b) => a.atMs - b.atMs);
    const endAt = (pending.at(-1)?.atMs ?? 0) + 20_000;
    for (; this.now < endAt; this.now += 1) {
      while (pending[0] && pending[0].atMs <= this.now) this.start(pending.shift());
      this.sendNotifications();
      this.engines.forEach((engine, id) => this.advance(id, engine));
      if (this.now % 20 === 0) tick();
    }
    return this.getShares(arrivals, ({ job }) => job.objectiveMs);
  }

  /** Gets the share of requests on time in each group of arrivals. */
  getShares<K>(arrivals: Arrival[], getGroup: (arrival: Arrival) => K): Map<K, number> {
    const groups = new Map<K, { all: number; onTime: number }>();
    for (const arrival of arrivals) {
      const { all, onTime } = groups.get(getGroup(arrival)) ?? { all: 0, onTime: 0 };
      const own = Number(this.onTimeIds.has(arrival.job.id));
      groups.set(getGroup(arrival), { all: all + 1, onTime: onTime + own });
    }
    return new Map([...groups].map(([group, { all, onTime }]) => [group, onTime / all]));
  }

  private start(arrival: Arrival | undefined): void {
    if (!arrival) return;
    this.arrivals.set(arrival.job.id, arrival);
    const decision = this.policy?.place(arrival.job);
    if (decision) this.decide(arrival.job.id, decision);
  }

  private sendNotifications(): void {
    const due = this.notifications.filter(({ at }) => at <= this.now);
    this.notifications = this.notifications.filter(({ at }) => at > this.now);
    due.forEach(({ notify }) => notify());
  }

  private notify(at: number, notify: () => void): void {
    if (this.options.notifiesOnTime) this.notifications.push({ at, notify });
    else notify();
  }

  private advance(id: string, engine: { freeAt: number; jobs: SimulatedJob[] }): void {
    if (this.now < engine.freeAt || engine.jobs.length === 0) return;
    const engineState = engine;
    const decodingJobs = engineState.jobs.filter((job) => job.isPrefilled && !job.isHelper);
    const tokens = engineState.jobs.reduce((sum, { arrival }) => sum + arrival.job.promptTokens, 0);
    const passMs = this.model.getPassMs(decodingJobs.length, tokens);
    let budgetMs = PREFILL_PER_PASS_MS;
    for (const job of engineState.jobs) budgetMs -= job.prefill(budgetMs);
    const slowdown = this.options.getSlowdown?.(id, engineState.jobs.length, this.now) ?? 1;
    engineState.freeAt = this.now + (passMs + (PREFILL_PER_PASS_MS - budgetMs)) * slowdown;
    for (const job of engineState.jobs.filter(
      ({ isPrefilled, isHelper }) => isPrefilled && !isHelper,
    )) {
      const { id: jobId } = job.arrival.job;
      if (job.emittedEvents === 0)
        this.notify(engineState.freeAt, () => this.policy?.markDecoding(jobId));
      job.emitEvent(engineState.freeAt);
    }
    const done = engineState.jobs.filter(isDone);
    engineState.jobs = engineState.jobs.filter((job) => !isDone(job));
    // Last, as the policy may place queued jobs on this engine.
    for (const { arrival, isHelper, isLate } of done) {
      if (isHelper) continue;
      if (!isLate) this.onTimeIds.add(arrival.job.id);
      this.notify(engineState.freeAt, () => this.policy?.release(arrival.job.id));
    }
  }
}

function isDone({ isHelper, isPrefilled, emittedEvents, arrival }: SimulatedJob): boolean {
  return isHelper ? isPrefilled : emittedEvents > arrival.events;
}
