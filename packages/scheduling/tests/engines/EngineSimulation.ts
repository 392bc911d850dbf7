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
/** Prefill time in milliseconds of one step: that of 2048 prompt tokens. */
const PREFILL_PER_STEP_MS = 13;

/** Longest time after which a client comes back, as a share of the time that it has left. */
const MAX_RETURN_SHARE = 1 / 3;

/** A request of a simulated load. */
export interface Arrival {
  atMs: number;
  job: EngineJob;
  /** Number of events after the first one. */
  events: number;
  /** Milliseconds on the way between client and engine, of which the policy knows nothing. */
  transferMs?: number;
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
    const { job, atMs, transferMs = 0 } = this.arrival;
    const isFirst = this.emittedEvents === 0;
    if (isFirst ? at - atMs + transferMs > job.objectiveMs : at - this.lastEventAt > job.pauseMs)
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
  /** Published performance figures of the engines. */
  profile?: PerformanceProfile;
  /** Gets the time that an engine with a number of jobs takes, as a multiple of the modelled one. */
  getSlowdown?: (engine: string, jobs: number, at: number) => number;
}

interface SimulatedEngine {
  /** Time at which the running pass ends. */
  freeAt: number;
  jobs: SimulatedJob[];
  /** Jobs that emit an event at the end of the running pass. */
  emitting: SimulatedJob[];
}

/**
 * Simulates engines that prefill prompts between the decode steps of a pass. A pass takes as long
 * as its decode steps plus the prefill that fits into it. Events are emitted at its end.
 */
export class EngineSimulation {
  now = 0;

  private readonly model: LatencyModel;

  private readonly engines = new Map<string, SimulatedEngine>();

  /** Ids of requests that are complete or whose client has left. */
  private readonly ended = new Set<string>();

  /** Ids of requests that come back, by the time at which they do. */
  private readonly returning = new Map<number, string[]>();

  private readonly returned = new Set<string>();

  private readonly onTimeIds = new Set<string>();

  private policy: SchedulingPolicy | undefined;

  constructor(
    engines: string[],
    private readonly options: EngineSimulationOptions = {},
  ) {
    this.model = new LatencyModel(options.profile ?? ENGINE_PROFILE);
    engines.forEach((id) => this.engines.set(id, { freeAt: 0, jobs: [], emitting: [] }));
  }

  private readonly arrivals = new Map<string, Arrival>();

  /** Applies the decision on a job. */
  decide(id: string, decision: EngineDecision): void {
    const arrival = this.arrivals.get(id);
    if (!arrival) return;
    if (decision.kind === 'refused') this.comeBack(arrival, decision.retryAfterMs);
    if (decision.kind !== 'placed') return;
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
    const { returning } = this;
    const leaving = [...arrivals].sort((a, b) => getLeaveAt(a) - getLeaveAt(b));
    const endAt = (pending.at(-1)?.atMs ?? 0) + 20_000;
    for (; this.now < endAt; this.now += 1) {
      while (pending[0] && pending[0].atMs <= this.now) this.start(pending.shift());
      for (const id of returning.get(this.now) ?? []) this.start(this.arrivals.get(id));
      while (leaving[0] && getLeaveAt(leaving[0]) <= this.now) this.end(leaving.shift());
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

  /** Places a request, which is new or comes back. */
  private start(arrival: Arrival | undefined): void {
    if (!arrival) return;
    const { job } = arrival;
    this.arrivals.set(job.id, arrival);
    const remainingMs = getLeaveAt(arrival) - this.now;
    const decision = this.policy?.place({ ...job, remainingMs });
    if (decision) this.decide(job.id, decision);
  }

  /** Has a client come back once after a refusal, unless too little of its time would be left. */
  private comeBack({ job, atMs }: Arrival, afterMs: number): void {
    const leftMs = atMs + job.remainingMs - this.now;
    if (this.returned.has(job.id) || afterMs > leftMs * MAX_RETURN_SHARE) return;
    this.returned.add(job.id);
    const at = this.now + Math.max(1, Math.round(afterMs));
    this.returning.set(at, [...(this.returning.get(at) ?? []), job.id]);
  }

  /** Ends a request whose client leaves, unless it has ended. */
  private end(arrival: Arrival | undefined): void {
    if (!arrival || this.ended.has(arrival.job.id)) return;
    this.ended.add(arrival.job.id);
    this.engines.forEach((engine) => {
      const engineState = engine;
      const isOther = (job: SimulatedJob): boolean => job.arrival !== arrival;
      engineState.jobs = engine.jobs.filter(isOther);
      engineState.emitting = engine.emitting.filter(isOther);
    });
    this.policy?.release(arrival.job.id);
  }

  private advance(id: string, engine: SimulatedEngine): void {
    if (this.now < engine.freeAt) return;
    this.endPass(engine);
    const engineState = engine;
    if (engine.jobs.length === 0) return;
    const decodingJobs = engine.jobs.filter((job) => job.isPrefilled && !job.isHelper);
    const tokens = engine.jobs.reduce((sum, { arrival }) => sum + arrival.job.promptTokens, 0);
    // Without decoding jobs, a pass is one step.
    const isStep = decodingJobs.length === 0 && engine.jobs.some((job) => !job.isPrefilled);
    const passMs = isStep ? 0 : this.model.getPassMs(decodingJobs.length, tokens);
    const totalMs = isStep ? PREFILL_PER_STEP_MS : PREFILL_PER_PASS_MS;
    let budgetMs = totalMs;
    for (const job of engine.jobs) budgetMs -= job.prefill(budgetMs);
    const slowdown = this.options.getSlowdown?.(id, engine.jobs.length, this.now) ?? 1;
    engineState.freeAt = this.now + (passMs + (totalMs - budgetMs)) * slowdown;
    if (isStep) return;
    engineState.emitting = engine.jobs.filter((job) => job.isPrefilled && !job.isHelper);
  }

  /** Reports the events of a pass when it ends, which an observer cannot know earlier. */
  private endPass(engine: SimulatedEngine): void {
    const engineState = engine;
    const { emitting, freeAt } = engine;
    engineState.emitting = [];
    for (const job of emitting) {
      if (job.emittedEvents === 0) this.policy?.markDecoding(job.arrival.job.id);
      job.emitEvent(freeAt);
    }
    const done = engine.jobs.filter(isDone);
    engineState.jobs = engine.jobs.filter((job) => !isDone(job));
    // Last, as the policy may place queued jobs on this engine.
    for (const { arrival, isHelper, isLate } of done) {
      if (isHelper) continue;
      this.ended.add(arrival.job.id);
      if (!isLate) this.onTimeIds.add(arrival.job.id);
      this.policy?.release(arrival.job.id);
    }
  }
}

/** Gets the time at which the client stops waiting for the answer. */
function getLeaveAt({ atMs, job }: Arrival): number {
  return atMs + job.remainingMs;
}

function isDone({ isHelper, isPrefilled, emittedEvents, arrival }: SimulatedJob): boolean {
  return isHelper ? isPrefilled : emittedEvents > arrival.events;
}
