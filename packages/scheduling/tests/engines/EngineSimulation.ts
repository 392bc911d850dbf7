/* eslint-disable max-classes-per-file -- The simulation and its only part. */
import { PassModel } from '../../src/index.js';
import type { EngineDecision, EngineJob, EnginePace } from '../../src/index.js';

/** Pace of the engines in the users' figures. */
export const PACE: EnginePace = {
  stepMs: 1.31,
  writerMs: 0.00133,
  contextMsPerThousand: 0.00213,
  readTokensPerSecond: 154_000,
  pairMsPerMillion: 0.162,
  strideSteps: 34,
  memoryTokens: 405_000,
};

/** Milliseconds of reading that fit into the steps of one pass. */
const READ_PER_PASS_MS = 450;

/** A request of a simulated load. */
export interface Arrival {
  atMs: number;
  job: EngineJob;
  /** Events that are written after the first one. */
  events: number;
}

/** A prompt, or a part of one, on an engine. */
class Running {
  writtenEvents = 0;

  isSpoilt = false;

  private lastEventAt = 0;

  constructor(
    readonly arrival: Arrival,
    readonly isHelp: boolean,
    private unreadMs: number,
  ) {}

  get isRead(): boolean {
    return this.unreadMs <= 0;
  }

  /** Reads for at most the given milliseconds and gets those that it took. */
  read(mostMs: number): number {
    const taken = Math.min(mostMs, Math.max(0, this.unreadMs));
    this.unreadMs -= taken;
    return taken;
  }

  /** Writes an event at a time; the first one must meet the objective, others the pause. */
  write(at: number): void {
    const { job, atMs } = this.arrival;
    const isFirst = this.writtenEvents === 0;
    if (isFirst ? at - atMs > job.objectiveMs : at - this.lastEventAt > job.pauseMs)
      this.isSpoilt = true;
    this.lastEventAt = at;
    this.writtenEvents += 1;
  }
}

/** Decides where jobs go; told of what happens to them. */
export interface Policy {
  place(job: EngineJob): EngineDecision;
  markWriting(id: string): void;
  release(id: string): void;
}

/** Share of the requests of a kind that were on time, by the length of their objective. */
export type Punctuality = Map<number, number>;

/**
 * Engines that read prompts between the steps of a pass: a pass with writers takes as long as its
 * steps and all the reading that fits between them.
 */
export class EngineSimulation {
  now = 0;

  private readonly model = new PassModel(PACE);

  private readonly engines = new Map<string, { freeAt: number; jobs: Running[] }>();

  private readonly onTime = new Map<number, { all: number; good: number }>();

  private policy: Policy | undefined;

  constructor(engines: string[]) {
    engines.forEach((id) => this.engines.set(id, { freeAt: 0, jobs: [] }));
  }

  private readonly arrivals = new Map<string, Arrival>();

  /** Takes the decision on a job that was queued. */
  decide(id: string, decision: EngineDecision): void {
    const arrival = this.arrivals.get(id);
    if (!arrival || decision.kind !== 'placed') return;
    const parts = 1 + decision.helpers.length;
    const unreadMs = this.model.getReadMs(arrival.job.promptTokens) / parts;
    [decision.engine, ...decision.helpers.map((help) => help.engine)].forEach((engine, index) => {
      this.engines.get(engine)?.jobs.push(new Running(arrival, index > 0, unreadMs));
    });
  }

  /** Plays a load and gets the share of each kind that was on time. */
  run(arrivals: Arrival[], policy: Policy, tick: () => void): Punctuality {
    this.policy = policy;
    const waiting = [...arrivals].sort((a, b) => a.atMs - b.atMs);
    const endAt = (waiting.at(-1)?.atMs ?? 0) + 20_000;
    for (const { job } of waiting) this.count(job.objectiveMs, 0, 1);
    for (; this.now < endAt; this.now += 1) {
      while (waiting[0] && waiting[0].atMs <= this.now) this.start(waiting.shift());
      this.engines.forEach((engine) => this.advance(engine));
      if (this.now % 20 === 0) tick();
    }
    return new Map([...this.onTime].map(([kind, { all, good }]) => [kind, good / all]));
  }

  private start(arrival: Arrival | undefined): void {
    if (!arrival) return;
    this.arrivals.set(arrival.job.id, arrival);
    const decision = this.policy?.place(arrival.job);
    if (decision) this.decide(arrival.job.id, decision);
  }

  private advance(engine: { freeAt: number; jobs: Running[] }): void {
    if (this.now < engine.freeAt || engine.jobs.length === 0) return;
    const load = engine;
    const writers = load.jobs.filter((job) => job.isRead && !job.isHelp);
    const tokens = load.jobs.reduce((sum, { arrival }) => sum + arrival.job.promptTokens, 0);
    const passMs = this.model.getPassMs(writers.length, tokens);
    let readMs = READ_PER_PASS_MS;
    for (const job of load.jobs) readMs -= job.read(readMs);
    load.freeAt = this.now + passMs + (READ_PER_PASS_MS - readMs);
    for (const job of load.jobs.filter(({ isRead, isHelp }) => isRead && !isHelp)) {
      if (job.writtenEvents === 0) this.policy?.markWriting(job.arrival.job.id);
      job.write(load.freeAt);
    }
    load.jobs = load.jobs.filter((job) => !this.isDone(job));
  }

  private isDone(job: Running): boolean {
    if (job.isHelp) return job.isRead;
    const { job: request, events } = job.arrival;
    if (job.writtenEvents <= events) return false;
    this.policy?.release(request.id);
    if (!job.isSpoilt) this.count(request.objectiveMs, 1, 0);
    return true;
  }

  private count(kind: number, good: number, all: number): void {
    const known = this.onTime.get(kind) ?? { all: 0, good: 0 };
    this.onTime.set(kind, { all: known.all + all, good: known.good + good });
  }
}
