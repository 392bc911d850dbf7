import type { EngineDecision, EngineJob } from './EngineJob.js';
import { EngineLoad, getWeight } from './EngineLoad.js';
import type { EngineEntry } from './EngineLoad.js';
import { PassModel } from './PassModel.js';
import type { EnginePace } from './PassModel.js';

/** What a scheduler of one service's engines needs. */
export interface EngineSchedulerOptions {
  pace: EnginePace;
  now: () => number;
  /** Called when a queued job is placed or given up. */
  onDecided: (id: string, decision: EngineDecision) => void;
}

interface QueuedJob {
  job: EngineJob;
  arrivedAt: number;
  deadlineAt: number;
}

/** Reading in milliseconds from which a prompt is kept away from streams with short pauses. */
const HEAVY_READ_MS = 180;
/** Short prompts that one engine gets before another one is opened for them. */
const LIGHT_TARGET = 7;
/** Cost of an engine in another data centre, in parts of a spoilt request. */
const DISTANCE_COST = 0.02;
/** Cost of opening an empty engine for a short prompt, in parts of a spoilt request. */
const OPEN_COST = 0.12;
/** Cost of a first event that takes the whole objective, in parts of a spoilt request. */
const DELAY_COST = 0.5;
/** Cost of each short prompt beyond the target, in parts of a spoilt request. */
const CROWD_COST = 0.08;
/** Part of the objective that a prediction may use up. */
const OBJECTIVE_SHARE = 0.85;
/** Part of the objective in which the reading of a prompt should end; others help beyond it. */
const READ_SHARE = 0.5;
/** Engines that may read for another one. */
const MAX_HELPERS = 6;
/** Part of an engine's memory that prompts may fill. */
const MEMORY_SHARE = 0.95;
/** Avoidance in milliseconds of an engine whose connection broke. */
const AVOID_MS = 1500;
/** Milliseconds that writing an answer is expected to take at least. */
const WRITE_MS = 800;
const MIN_RETRY_MS = 300;

/**
 * Decides which engine reads and answers each prompt of one service.
 * @remarks A prompt whose reading is long spoils the pauses of all streams beside it. Short prompts
 * are packed on few engines, so that others stay clear for the long ones; long prompts wait for a
 * clear engine while their objective allows it, and idle engines help to read the longest.
 */
export class EngineScheduler {
  private readonly loads = new Map<string, EngineLoad>();

  private readonly avoidedUntil = new Map<string, number>();

  private queue: QueuedJob[] = [];

  private model: PassModel;

  constructor(private readonly options: EngineSchedulerOptions) {
    this.model = new PassModel(options.pace);
  }

  get queueLength(): number {
    return this.queue.length;
  }

  /** Sets the engines that take new jobs; jobs of others stay known until they end. */
  setEngines(engines: EngineEntry[]): void {
    const wanted = new Set(engines.map((engine) => engine.id));
    for (const id of this.loads.keys()) if (!wanted.has(id)) this.loads.delete(id);
    for (const engine of engines) {
      if (!this.loads.has(engine.id)) this.loads.set(engine.id, new EngineLoad(engine, this.model));
    }
    this.decideQueued();
  }

  /** Decides on a job now, or queues it until an engine is clear. */
  place(job: EngineJob): EngineDecision {
    const now = this.options.now();
    const decision = this.decide(job, job.waitedMs, now + job.remainingMs, now);
    if (decision.kind !== 'queued') return decision;
    const arrivedAt = now - job.waitedMs;
    this.queue.push({ job, arrivedAt, deadlineAt: now + job.remainingMs });
    this.queue.sort((a, b) => a.job.priority - b.job.priority || a.arrivedAt - b.arrivedAt);
    return decision;
  }

  /** Adds a job that was placed elsewhere. */
  adopt(job: EngineJob, engine: string, isWriting: boolean): void {
    const load = this.loads.get(engine);
    if (!load) return;
    load.add(job, this.model.getReadMs(job.promptTokens), this.options.now());
    if (isWriting) load.markWriting(job.id);
  }

  /** The first event of a job has come. */
  markWriting(id: string): void {
    this.loads.forEach((load) => {
      load.markWriting(id);
      load.remove(getHelpId(id));
    });
    this.decideQueued();
  }

  /** A job has ended, or is wanted no more. */
  release(id: string): void {
    this.queue = this.queue.filter(({ job }) => job.id !== id);
    this.loads.forEach((load) => {
      load.remove(id);
      load.remove(getHelpId(id));
    });
    this.decideQueued();
  }

  /** Avoids an engine whose connection broke. */
  avoid(engine: string): void {
    this.avoidedUntil.set(engine, this.options.now() + AVOID_MS);
  }

  /** Decides on queued jobs again; to be called from time to time, for time alone changes much. */
  decideQueued(): void {
    const now = this.options.now();
    const waiting = this.queue;
    this.queue = [];
    for (const queued of waiting) {
      const { job, arrivedAt, deadlineAt } = queued;
      const decision = this.decide(job, now - arrivedAt, deadlineAt, now);
      if (decision.kind === 'queued') this.queue.push(queued);
      else this.options.onDecided(job.id, decision);
    }
  }

  private decide(
    job: EngineJob,
    waitedMs: number,
    deadlineAt: number,
    now: number,
  ): EngineDecision {
    const readMs = this.model.getReadMs(job.promptTokens);
    const isHeavy = readMs > HEAVY_READ_MS;
    const candidates = this.getCandidates(job, now);
    const slackMs = job.objectiveMs * OBJECTIVE_SHARE - waitedMs;
    const choice = isHeavy
      ? chooseForHeavy(job, candidates, readMs, now)
      : chooseForLight(job, candidates, readMs, slackMs, now);
    if (choice && (choice.isClear || !mayWait(isHeavy, slackMs, readMs, deadlineAt - now)))
      return assign(job, choice.load, choice.helpers, readMs, now);
    if (deadlineAt - now < readMs / (MAX_HELPERS + 1) + WRITE_MS)
      return this.refuse('the time left is too short');
    if (isHeavy && this.isHopeless(readMs, deadlineAt - now, now))
      return this.refuse('engines are busy');
    return { kind: 'queued' };
  }

  private getCandidates(job: EngineJob, now: number): EngineLoad[] {
    const usable = [...this.loads.values()].filter(
      ({ engine }) => !job.excluded.includes(engine.id),
    );
    const sound = usable.filter(({ engine }) => (this.avoidedUntil.get(engine.id) ?? 0) <= now);
    const room = this.options.pace.memoryTokens * MEMORY_SHARE - job.promptTokens;
    return (sound.length > 0 ? sound : usable).filter(
      (load) => !load.isFull && load.tokens <= room,
    );
  }

  /** True when the long prompts ahead leave no time for this one on the engines there are. */
  private isHopeless(readMs: number, remainingMs: number, now: number): boolean {
    const heavy = [...this.loads.values()].filter(
      (load) => load.getLightCount(HEAVY_READ_MS) === 0,
    );
    const engines = Math.max(1, heavy.length);
    const running = heavy.reduce((sum, load) => sum + load.getBacklogMs(now), 0);
    const waiting = this.queue.reduce(
      (sum, { job }) => sum + this.model.getReadMs(job.promptTokens) + WRITE_MS,
      0,
    );
    return (running + waiting) / engines + readMs + WRITE_MS > remainingMs;
  }

  private refuse(reason: string): EngineDecision {
    const now = this.options.now();
    const waits = [...this.loads.values()].map((load) => load.getBacklogMs(now));
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.min(...waits, MIN_RETRY_MS * 4));
    return { kind: 'refused', retryAfterMs, reason };
  }
}

interface Choice {
  load: EngineLoad;
  helpers: EngineLoad[];
  /** True when nobody is spoilt by it. */
  isClear: boolean;
}

/** A long prompt waits for a clear engine as long as it can still be read in time. */
function mayWait(isHeavy: boolean, slackMs: number, readMs: number, remainingMs: number): boolean {
  if (!isHeavy) return false;
  const fastest = Math.min(readMs, Math.max(readMs / (MAX_HELPERS + 1), slackMs * READ_SHARE));
  return slackMs - fastest > 0 || remainingMs > readMs + WRITE_MS;
}

function chooseForLight(
  job: EngineJob,
  candidates: EngineLoad[],
  readMs: number,
  slackMs: number,
  now: number,
): Choice | undefined {
  const cost = (load: EngineLoad): number => {
    const isLate = load.getFirstEventMs(readMs, now) > slackMs;
    const light = load.getLightCount(HEAVY_READ_MS);
    const crowd = Math.max(0, light - LIGHT_TARGET) * CROWD_COST;
    const empty = load.size === 0 ? OPEN_COST : 0;
    const fill = (1 - Math.min(light, LIGHT_TARGET) / LIGHT_TARGET) * OPEN_COST;
    const delay = load.getFirstEventMs(readMs, now) / job.objectiveMs;
    const distance = load.engine.dataCentre === job.dataCentre ? 0 : DISTANCE_COST;
    const own = isLate ? 1 + delay : delay * DELAY_COST;
    return own + load.getHarm(readMs, now) + crowd + empty + fill + distance;
  };
  const best = getLeast(candidates, cost);
  return best && { load: best, helpers: [], isClear: true };
}

function getHelpers(
  job: EngineJob,
  first: EngineLoad,
  clear: EngineLoad[],
  readMs: number,
): EngineLoad[] {
  const parts = Math.ceil(readMs / (job.objectiveMs * READ_SHARE));
  return clear
    .filter((load) => load !== first && load.engine.dataCentre === first.engine.dataCentre)
    .slice(0, Math.min(MAX_HELPERS, parts - 1));
}

function assign(
  job: EngineJob,
  load: EngineLoad,
  helpers: EngineLoad[],
  readMs: number,
  now: number,
): EngineDecision {
  const part = readMs / (helpers.length + 1);
  load.add(job, part, now);
  const help = { ...job, id: getHelpId(job.id) };
  helpers.forEach((helper) => helper.add(help, part, now, true));
  return {
    kind: 'placed',
    engine: load.engine.id,
    helpers: helpers.map(({ engine }) => engine.id),
  };
}

function chooseForHeavy(
  job: EngineJob,
  candidates: EngineLoad[],
  readMs: number,
  now: number,
): Choice | undefined {
  const clear = candidates.filter((load) => load.size === 0);
  const near = getLeast(clear, ({ engine }) => Number(engine.dataCentre !== job.dataCentre));
  if (near) return { load: near, helpers: getHelpers(job, near, clear, readMs), isClear: true };
  const cost = (load: EngineLoad): number => {
    const firstMs = load.getFirstEventMs(readMs, now);
    const isLate = firstMs > job.objectiveMs * OBJECTIVE_SHARE;
    return load.getHarm(readMs, now) + (isLate ? getWeight(readMs) : firstMs / job.objectiveMs);
  };
  const best = getLeast(candidates, cost);
  if (!best) return undefined;
  const firstMs = best.getFirstEventMs(readMs, now);
  const isClear =
    best.getHarm(readMs, now) === 0 &&
    best.getLightCount(HEAVY_READ_MS) === 0 &&
    firstMs < job.objectiveMs * OBJECTIVE_SHARE;
  return { load: best, helpers: [], isClear };
}

function getHelpId(id: string): string {
  return `${id}/help`;
}

function getLeast<T>(items: T[], cost: (item: T) => number): T | undefined {
  let best: T | undefined;
  let least = Infinity;
  for (const item of items) {
    const value = cost(item);
    if (value < least) {
      least = value;
      best = item;
    }
  }
  return best;
}
