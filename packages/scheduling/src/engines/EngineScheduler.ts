import {
  chooseForHeavy,
  chooseForLight,
  chooseJoint,
  MAX_HELPERS,
  MAX_JOINT_ENGINES,
  OBJECTIVE_SHARE,
  READ_SHARE,
  WRITE_MS,
} from './choices/index.js';
import type { Choice } from './choices/index.js';
import type { EngineDecision, EngineHelp, EngineJob } from './EngineJob.js';
import { EngineHealth } from './EngineHealth.js';
import type { JobEnding } from './EngineHealth.js';
import { EngineLoad, HEAVY_READ_MS } from './EngineLoad.js';
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

/** Part of an engine's memory that prompts may fill. */
const MEMORY_SHARE = 0.95;
const MIN_RETRY_MS = 300;
/** Part of its objective for which a prompt beyond one engine's memory holds back later ones. */
const COLLECT_SHARE = 0.5;

const QUEUED: EngineDecision = { kind: 'queued' };

/**
 * Decides which engine reads and answers each prompt of one service.
 * @remarks A prompt whose reading is long spoils the pauses of all streams beside it. Short prompts
 * are packed on few engines, so that others stay clear for the long ones; long prompts wait for a
 * clear engine while their objective allows it, and idle engines help to read the longest.
 */
export class EngineScheduler {
  private readonly loads = new Map<string, EngineLoad>();

  private readonly health = new EngineHealth();

  private queue: QueuedJob[] = [];

  private model: PassModel;

  constructor(private readonly options: EngineSchedulerOptions) {
    this.model = new PassModel(options.pace);
  }

  get queueLength(): number {
    return this.queue.length;
  }

  /** Sets the engines that take new jobs; what runs on others is forgotten with them. */
  setEngines(engines: EngineEntry[]): void {
    const wanted = new Set(engines.map((engine) => engine.id));
    for (const id of this.loads.keys()) if (!wanted.has(id)) this.loads.delete(id);
    this.health.retain((id) => wanted.has(id));
    for (const engine of engines) {
      if (!this.loads.has(engine.id)) this.loads.set(engine.id, new EngineLoad(engine, this.model));
    }
    this.decideQueued();
  }

  /** Decides on a job now, or queues it until an engine is clear. */
  place(job: EngineJob): EngineDecision {
    const now = this.options.now();
    const arrivedAt = now - job.waitedMs;
    const decision = this.isBehindJoint(job, arrivedAt, now)
      ? QUEUED
      : this.decide(job, job.waitedMs, now + job.remainingMs, now);
    if (decision.kind !== 'queued') return decision;
    this.queue.push({ job, arrivedAt, deadlineAt: now + job.remainingMs });
    return decision;
  }

  /** Adds a job that was placed elsewhere. */
  adopt(job: EngineJob, engine: string, helpers: EngineHelp[], isWriting: boolean): void {
    const now = this.options.now();
    const readMs = this.model.getReadMs(job.promptTokens) / (helpers.length + 1);
    const helped = helpers.reduce((sum, { heldTokens }) => sum + heldTokens, 0);
    const heldTokens = job.promptTokens - helped;
    this.loads.get(engine)?.add(job, { readMs, heldTokens }, now);
    const help = { ...job, id: getHelpId(job.id) };
    helpers.forEach(({ engine: id, heldTokens: held }) =>
      this.loads.get(id)?.add(help, { readMs, heldTokens: held, isHelp: true }, now),
    );
    if (isWriting) this.markWriting(job.id);
  }

  /** The first event of a job has come. */
  markWriting(id: string): void {
    for (const [engine, load] of this.loads) {
      if (load.markWriting(id)) this.health.addAnswer(engine);
      load.markWriting(getHelpId(id));
    }
    this.decideQueued();
  }

  /** Gets the engines that answer short prompts; long ones would spoil the pauses there. */
  getLightEngines(): string[] {
    return [...this.loads.values()]
      .filter((load) => load.lightCount > 0)
      .map(({ engine }) => engine.id);
  }

  /**
   * A job has ended, or is wanted no more.
   * @param culprit - The engine at fault when it is not the first one of the job.
   */
  release(id: string, ending: JobEnding = 'orderly', culprit?: string): void {
    const now = this.options.now();
    if (culprit !== undefined) this.health.addEnding(culprit, id, ending, now);
    this.queue = this.queue.filter(({ job }) => job.id !== id);
    for (const [engine, load] of this.loads) {
      const isOwn = load.remove(id);
      if (isOwn) this.health.addEnding(engine, id, culprit ? 'orderly' : ending, now);
      load.remove(getHelpId(id));
    }
    this.decideQueued();
  }

  /** Decides on queued jobs again; to be called from time to time, for time alone changes much. */
  decideQueued(): void {
    const now = this.options.now();
    const waiting = this.queue.sort((a, b) => this.compare(a, b, now));
    this.queue = [];
    for (const queued of waiting) {
      const { job, arrivedAt, deadlineAt } = queued;
      const decision = this.isBehindJoint(job, arrivedAt, now)
        ? QUEUED
        : this.decide(job, now - arrivedAt, deadlineAt, now);
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
    const remainingMs = deadlineAt - now;
    const slackMs = job.objectiveMs * OBJECTIVE_SHARE - waitedMs;
    const { roomTokens } = this;
    const candidates = this.getCandidates(job, roomTokens, now);
    const candidacy = {
      job,
      candidates,
      engineCount: this.loads.size,
      readMs,
      slackMs,
      remainingMs,
      roomTokens,
      now,
      getRisk: (load: EngineLoad) => this.health.getFailureShare(load.engine.id, now),
    };
    if (this.needsSeveral(job)) {
      const choice = chooseJoint(candidacy);
      if (choice) return this.assign(job, choice, readMs, now);
      return this.queueJoint(job, readMs, remainingMs, roomTokens);
    }
    const isHeavy = readMs > HEAVY_READ_MS;
    const choice = isHeavy ? chooseForHeavy(candidacy) : chooseForLight(candidacy);
    if (choice && (choice.isClear || !mayWait(isHeavy, slackMs, readMs, remainingMs)))
      return this.assign(job, choice, readMs, now);
    if (remainingMs < readMs / (MAX_HELPERS + 1) + WRITE_MS)
      return this.refuse('the time left is too short');
    if (isHeavy && this.isHopeless(readMs, remainingMs, now))
      return this.refuse('engines are busy');
    return { kind: 'queued' };
  }

  /** Lets a prompt that needs several engines wait while it can still be served. */
  private queueJoint(
    job: EngineJob,
    readMs: number,
    remainingMs: number,
    roomTokens: number,
  ): EngineDecision {
    const engines = Math.min(MAX_JOINT_ENGINES, this.loads.size);
    if (engines * roomTokens < job.promptTokens)
      return this.refuse('the prompt exceeds the memory of all engines');
    if (remainingMs < readMs / engines + WRITE_MS) return this.refuse('the time left is too short');
    return { kind: 'queued' };
  }

  /**
   * True when a prompt that needs several engines is due earlier and still collects clear ones.
   * Without its turn it would wait forever, for others take each engine as it becomes clear.
   */
  private isBehindJoint(job: EngineJob, arrivedAt: number, now: number): boolean {
    if (this.model.getReadMs(job.promptTokens) <= HEAVY_READ_MS) return false;
    return this.queue.some(
      (other) =>
        this.needsSeveral(other.job) &&
        other.job.priority <= job.priority &&
        getDueAt(other) < arrivedAt + job.objectiveMs &&
        now - other.arrivedAt < other.job.objectiveMs * COLLECT_SHARE,
    );
  }

  /**
   * Orders the queue: the urgent first, then what can still be on time, then what is due first. A
   * late answer is worth little, so it does not make the next one late too.
   */
  private compare(a: QueuedJob, b: QueuedJob, now: number): number {
    return (
      a.job.priority - b.job.priority ||
      Number(this.isLost(a, now)) - Number(this.isLost(b, now)) ||
      getDueAt(a) - getDueAt(b)
    );
  }

  /** True when a queued prompt cannot meet its objective any more. */
  private isLost({ job, arrivedAt }: QueuedJob, now: number): boolean {
    const readMs = this.model.getReadMs(job.promptTokens);
    return arrivedAt + job.objectiveMs < now + readMs / (MAX_HELPERS + 1);
  }

  /** True when one engine cannot hold the prompt, or cannot read it within its objective. */
  private needsSeveral({ promptTokens, objectiveMs }: EngineJob): boolean {
    const isSlow = this.model.getReadMs(promptTokens) > objectiveMs * OBJECTIVE_SHARE;
    return promptTokens > this.roomTokens || isSlow;
  }

  /** Tokens that prompts may hold on one engine. */
  private get roomTokens(): number {
    return Math.floor(this.options.pace.memoryTokens * MEMORY_SHARE);
  }

  private getCandidates(job: EngineJob, roomTokens: number, now: number): EngineLoad[] {
    const usable = [...this.loads.values()].filter(
      ({ engine }) => !job.excluded.includes(engine.id),
    );
    const sound = usable.filter(({ engine }) => this.health.isUsable(engine.id, now));
    const heldTokens = Math.min(job.promptTokens, roomTokens);
    return (sound.length > 0 ? sound : usable).filter(
      (load) => !load.isFull && load.tokens + heldTokens <= roomTokens,
    );
  }

  /** True when the long prompts ahead leave no time for this one on the engines there are. */
  private isHopeless(readMs: number, remainingMs: number, now: number): boolean {
    const heavy = [...this.loads.values()].filter((load) => load.lightCount === 0);
    const engines = Math.max(1, heavy.length);
    const running = heavy.reduce((sum, load) => sum + load.getBacklogMs(now), 0);
    const waiting = this.queue.reduce(
      (sum, { job }) => sum + this.model.getReadMs(job.promptTokens) + WRITE_MS,
      0,
    );
    return (running + waiting) / engines + readMs + WRITE_MS > remainingMs;
  }

  private assign(job: EngineJob, choice: Choice, readMs: number, now: number): EngineDecision {
    const { load, helpers, heldTokens } = choice;
    const part = readMs / (helpers.length + 1);
    const readers = [load, ...helpers.map((helper) => helper.load)];
    const expectedMs = Math.max(...readers.map((each) => each.getFirstEventMs(part, now)));
    load.add(job, { readMs: part, heldTokens }, now);
    this.health.addJob(load.engine.id, job.id);
    const help = { ...job, id: getHelpId(job.id) };
    helpers.forEach((helper) =>
      helper.load.add(help, { readMs: part, heldTokens: helper.heldTokens, isHelp: true }, now),
    );
    return {
      kind: 'placed',
      engine: load.engine.id,
      expectedMs: Math.round(expectedMs),
      helpers: helpers.map((helper) => ({
        engine: helper.load.engine.id,
        heldTokens: helper.heldTokens,
      })),
    };
  }

  private refuse(reason: string): EngineDecision {
    const now = this.options.now();
    const waits = [...this.loads.values()].map((load) => load.getBacklogMs(now));
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.min(...waits, MIN_RETRY_MS * 4));
    return { kind: 'refused', retryAfterMs, reason };
  }
}

/** Gets the time at which the first event is due. */
function getDueAt({ job, arrivedAt }: QueuedJob): number {
  return arrivedAt + job.objectiveMs;
}

/** A long prompt waits for a clear engine as long as it can still be read in time. */
function mayWait(isHeavy: boolean, slackMs: number, readMs: number, remainingMs: number): boolean {
  if (!isHeavy) return false;
  const fastest = Math.min(readMs, Math.max(readMs / (MAX_HELPERS + 1), slackMs * READ_SHARE));
  return slackMs - fastest > 0 || remainingMs > readMs + WRITE_MS;
}

function getHelpId(id: string): string {
  return `${id}/help`;
}
