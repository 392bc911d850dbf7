import { EngineScheduler, PoisonTable } from '../../src/index.js';
import type { EngineDecision, EngineJob } from '../../src/index.js';
import { ENGINE_PROFILE } from '../engines/EngineSimulation.js';

/** Options of a {@link PoisonedLoad}. */
export interface PoisonedLoadOptions {
  seed: number;
  engines?: number;
  requestsPerSecond?: number;
  seconds?: number;
  /** Share of the prompts with each deadly part. */
  deadlyShares: number[];
  /** Share of the sound prompts that have the same first part as the deadly ones. */
  firstPartShare?: number;
  /** Times in milliseconds at which some engines end by themselves. */
  outages?: { atMs: number; engines: number }[];
}

interface Prompt {
  parts: string[];
  isDeadly: boolean;
  hasFirstPart: boolean;
  /** Attempts left, of the entry process and of the client together. */
  attemptsLeft: number;
  arrivedAt: number;
  isFirstAttempt: boolean;
}

interface Running {
  prompt: Prompt;
  engine: string;
  sentAt: number;
  /** Time of the first event, then of the end. */
  nextAt: number;
  hasEvent: boolean;
}

/** Modulus of the random generator, a prime number. */
const MODULUS = 2 ** 31 - 1;
const ENGINE_CAPACITY = 11;
const TICK_MS = 5;
const RESTART_MS = 3000;
const DECODE_MS = 1200;
const DEADLINE_MS = 4000;
/** Attempts of the entry process, repeated once by the client. */
const MAX_ATTEMPTS = 4;
const OTHER_FIRST_PARTS = 12;

/** Simulates engines that end when they begin to answer a prompt with a deadly part. */
export class PoisonedLoad {
  /** Times at which a deadly part has ended an engine, by part. */
  readonly crashTimes = new Map<string, number[]>();

  /** Times at which a prompt with a deadly part was placed, by part. */
  readonly placementTimes = new Map<string, number[]>();

  /** Sound prompts with the first part of the deadly ones: whether the first attempt began, and when. */
  readonly soundAttempts: { arrivedAt: number; hasBegun: boolean }[] = [];

  private now = 0;

  private readonly table = new PoisonTable({ now: () => this.now });

  private readonly scheduler = new EngineScheduler({
    profile: ENGINE_PROFILE,
    now: () => this.now,
    onDecided: (id, decision) => this.handleDecision(id, decision),
    poison: this.table,
  });

  private readonly prompts = new Map<string, Prompt>();

  private readonly running = new Map<string, Running>();

  private readonly downUntil = new Map<string, number>();

  private nextId = 0;

  private state: number;

  constructor(private readonly options: PoisonedLoadOptions) {
    this.state = options.seed * 7_919;
  }

  run(): void {
    const { engines = 18, requestsPerSecond = 25, seconds = 30, outages = [] } = this.options;
    const ids = Array.from({ length: engines }, (_, index) => `e${index}`);
    for (; this.now < seconds * 1000; this.now += TICK_MS) {
      this.scheduler.setEngines(
        ids
          .filter((id) => (this.downUntil.get(id) ?? 0) <= this.now)
          .map((id) => ({ id, dataCentre: 'd', capacity: ENGINE_CAPACITY })),
      );
      if (this.random() < (requestsPerSecond * TICK_MS) / 1000) this.arrive();
      outages
        .filter(({ atMs }) => atMs === this.now)
        .forEach(({ engines: count }) => ids.slice(0, count).forEach((id) => this.endEngine(id)));
      this.advance();
      this.scheduler.decideQueued();
    }
  }

  private arrive(): void {
    const { deadlyShares, firstPartShare = 0.1 } = this.options;
    const own = `own${this.nextId}`;
    const draw = this.random();
    let reached = 0;
    for (const [index, share] of deadlyShares.entries()) {
      reached += share;
      if (draw < reached) {
        this.attempt(this.createPrompt([`first${index}`, `dead${index}`], true));
        return;
      }
    }
    const isFirst = draw < reached + firstPartShare;
    const part = isFirst ? 'first0' : `other${Math.floor(this.random() * OTHER_FIRST_PARTS)}`;
    this.attempt({ ...this.createPrompt([part], false), hasFirstPart: isFirst }, own);
  }

  private createPrompt(parts: string[], isDeadly: boolean): Prompt {
    const { now: arrivedAt } = this;
    const common = { parts, isDeadly, hasFirstPart: false, arrivedAt, isFirstAttempt: true };
    return { ...common, attemptsLeft: MAX_ATTEMPTS };
  }

  private attempt(prompt: Prompt, name = 'job'): void {
    const id = `${name}#${this.nextId}`;
    this.nextId += 1;
    this.prompts.set(id, { ...prompt, attemptsLeft: prompt.attemptsLeft - 1 });
    const job: EngineJob = {
      id,
      service: 's',
      dataCentre: 'd',
      promptTokens: 5000,
      priority: 0,
      objectiveMs: 250,
      pauseMs: 250,
      remainingMs: DEADLINE_MS - (this.now - prompt.arrivedAt),
      waitedMs: this.now - prompt.arrivedAt,
      excluded: [],
      parts: prompt.parts,
    };
    this.handleDecision(id, this.scheduler.place(job));
  }

  private handleDecision(id: string, decision: EngineDecision): void {
    const prompt = this.prompts.get(id);
    if (!prompt || decision.kind === 'queued') return;
    if (decision.kind === 'refused') {
      this.finish(prompt, false);
      return;
    }
    this.running.set(id, {
      prompt,
      engine: decision.engine,
      sentAt: this.now,
      nextAt: this.now + decision.expectedMs,
      hasEvent: false,
    });
    if (prompt.isDeadly) this.add(this.placementTimes, prompt);
  }

  private advance(): void {
    for (const [id, job] of this.running) {
      if (job.nextAt > this.now) continue;
      if (job.hasEvent) {
        this.running.delete(id);
        this.scheduler.release(id);
      } else if (job.prompt.isDeadly) {
        this.add(this.crashTimes, job.prompt);
        this.endEngine(job.engine);
      } else {
        Object.assign(job, { hasEvent: true, nextAt: this.now + DECODE_MS });
        this.table.recordAnswer(job.prompt.parts);
        this.scheduler.markDecoding(id);
        this.finish(job.prompt, true);
      }
    }
  }

  /** Ends an engine: reports the prompts without an event, then releases and repeats all. */
  private endEngine(engine: string): void {
    if ((this.downUntil.get(engine) ?? 0) > this.now) return;
    const lifetime = `${engine}@${this.now}`;
    this.downUntil.set(engine, this.now + RESTART_MS);
    const lost = [...this.running].filter(([, job]) => job.engine === engine);
    const pending = lost.filter(([, { hasEvent }]) => !hasEvent);
    pending.forEach(([, { prompt, sentAt }]) =>
      this.table.recordCrash(lifetime, prompt.parts, sentAt),
    );
    lost.forEach(([id]) => {
      this.running.delete(id);
      this.scheduler.release(id, 'broken');
    });
    pending.forEach(([, { prompt }]) => {
      this.finish(prompt, false);
      if (prompt.attemptsLeft > 0) this.attempt({ ...prompt, isFirstAttempt: false });
    });
  }

  private finish(prompt: Prompt, hasBegun: boolean): void {
    if (prompt.hasFirstPart && prompt.isFirstAttempt)
      this.soundAttempts.push({ arrivedAt: prompt.arrivedAt, hasBegun });
  }

  private add(times: Map<string, number[]>, { parts }: Prompt): void {
    const part = parts[1] ?? '';
    times.set(part, [...(times.get(part) ?? []), this.now]);
  }

  /** Gets a random number from 0 to 1 of a Lehmer generator. */
  private random(): number {
    this.state = (this.state * 48_271) % MODULUS;
    return this.state / MODULUS;
  }
}
