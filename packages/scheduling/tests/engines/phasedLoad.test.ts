import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LONG, MEDIUM, PhasedLoad, SHORT } from './PhasedLoad.js';
import type { Phase } from './PhasedLoad.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

/** Most engines are idle. */
const CALM: Phase[] = [{ untilMs: 20_000, factors: { [SHORT]: 0.6, [LONG]: 0.6 } }];
/** Long prompts need most of the engines. */
const LONG_CREST = { [SHORT]: 0.32, [MEDIUM]: 1.3, [LONG]: 2.8 };
/** Short prompts need most of the slots. */
const SHORT_CREST = { [SHORT]: 2.4, [MEDIUM]: 0.5, [LONG]: 0.05 };
const ALTERNATING: Phase[] = [
  { untilMs: 2500, factors: {} },
  { untilMs: 12_000, factors: LONG_CREST },
  { untilMs: 13_000, factors: {} },
  { untilMs: 22_500, factors: SHORT_CREST },
  { untilMs: 23_000, factors: {} },
  { untilMs: 32_500, factors: LONG_CREST },
];

/** Runs a load with each seed and gets the mean of each result. */
function runAll(phases: Phase[], engineCount?: number): Record<string, number> {
  const results = SEEDS.map((seed) => new PhasedLoad(phases, seed, engineCount).run());
  const getMean = (values: number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const shares = [SHORT, MEDIUM, LONG].map((kind) => [
    kind,
    getMean(results.map(({ byKind }) => byKind.get(kind) ?? 1)),
  ]);
  const worstWindow = getMean(results.map((result) => result.worstWindow));
  return { ...Object.fromEntries(shares), worstWindow } as Record<string, number>;
}

function assertAtLeast(actual: Record<string, number>, targets: Record<string, number>): void {
  for (const [name, target] of Object.entries(targets))
    assert.ok((actual[name] ?? 0) >= target, `${name}: ${actual[name]}`);
}

// Guards against short prompts that share passes with others while most engines are idle.
test('in calm, short prompts are on time beside long ones', (context) => {
  const result = runAll(CALM);
  context.diagnostic(JSON.stringify(result));
  assertAtLeast(result, { [SHORT]: 0.975, [MEDIUM]: 0.975, [LONG]: 0.975, worstWindow: 0.9 });
});

// Guards against prompts that are late anyway and take the room of those that can be on time.
test('crests of long and of short prompts in turn leave most prompts on time', (context) => {
  const result = runAll(ALTERNATING);
  context.diagnostic(JSON.stringify(result));
  assertAtLeast(result, { [SHORT]: 0.9, [MEDIUM]: 0.9, [LONG]: 0.85, worstWindow: 0.75 });
});

// Guards against a prompt that waits for more engines than a small fleet has idle.
test('in a small fleet, fewer engines than wanted prefill a long prompt in time', (context) => {
  const result = runAll(CALM, 12);
  context.diagnostic(JSON.stringify(result));
  assertAtLeast(result, { [SHORT]: 0.975, [MEDIUM]: 0.975, [LONG]: 0.9 });
});
