import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineScheduler } from '../../src/index.js';
import type { EngineDecision, EngineJob } from '../../src/index.js';
import { ENGINE_PROFILE } from './EngineSimulation.js';
import { OverloadByRate, SHORT } from './OverloadByRate.js';
import type { OverloadPolicy, OverloadPolicyOptions, OverloadResult } from './OverloadByRate.js';

/** Baseline: first come, first served, at the engine with the fewest jobs that may get one. */
class FirstComePolicy implements OverloadPolicy {
  private readonly running = new Map<string, Set<string>>();

  private waiting: EngineJob[] = [];

  constructor(private readonly options: OverloadPolicyOptions) {
    options.engines.forEach(({ id }) => this.running.set(id, new Set()));
  }

  place(job: EngineJob): EngineDecision {
    const queued: EngineDecision = { kind: 'queued' };
    const decision = this.waiting.length > 0 ? queued : this.tryPlace(job);
    if (decision.kind === 'queued') this.waiting.push(job);
    return decision;
  }

  markDecoding(): void {}

  release(id: string): void {
    this.running.forEach((jobs) => jobs.delete(id));
  }

  decideQueued(): void {
    while (this.waiting[0]) {
      const [job] = this.waiting;
      const decision = this.tryPlace(job);
      if (decision.kind === 'queued') return;
      this.waiting.shift();
      this.options.onDecided(job.id, decision);
    }
  }

  private tryPlace(job: EngineJob): EngineDecision {
    const { engines, limiter } = this.options;
    const getSize = (id: string): number => this.running.get(id)?.size ?? 0;
    const [least] = engines
      .filter(({ id, capacity }) => getSize(id) < capacity && limiter.getWaitMs(id) === 0)
      .sort((a, b) => getSize(a.id) - getSize(b.id));
    if (!least) return { kind: 'queued' };
    limiter.recordSend(least.id);
    this.running.get(least.id)?.add(job.id);
    return { kind: 'placed', engine: least.id, helpers: [], expectedMs: 0 };
  }
}

function createScheduler({ engines, ...options }: OverloadPolicyOptions): EngineScheduler {
  const scheduler = new EngineScheduler({ profile: ENGINE_PROFILE, ...options });
  scheduler.setEngines(engines);
  return scheduler;
}

/** Share of what serving nothing but short prompts could reach at best. */
const BOUND_SHARE = 0.85;

// Guards against a wave beyond the limits of engines in which almost every prompt is served late.
test('a wave beyond the limits of most engines makes few prompts late', (context) => {
  const load = new OverloadByRate();
  const bound = load.getBound();
  const baseline = load.run((options) => new FirstComePolicy(options));
  const result = load.run(createScheduler);
  const describe = (name: string, { byKind, worstWindow }: OverloadResult): void =>
    context.diagnostic(`${name}: ${JSON.stringify([...byKind])}, worst window ${worstWindow}`);
  describe('baseline', baseline);
  describe('scheduler', result);
  context.diagnostic(`bound for short prompts: ${bound}`);
  const share = result.byKind.get(SHORT) ?? 0;
  assert.ok(share >= bound * BOUND_SHARE && share >= 0.75, `${share} of at most ${bound}`);
  assert.ok(result.worstWindow > baseline.worstWindow);
  assert.ok(Math.min(...result.byKind.values()) > Math.min(...baseline.byKind.values()));
});

// Guards against a wave of which one stretch is served late although the whole looks well.
test('no window of a wave beyond the limits falls below the target', () => {
  const { worstWindow } = new OverloadByRate().run(createScheduler);
  assert.ok(worstWindow >= 0.6, `${worstWindow} of a window on time`);
});
