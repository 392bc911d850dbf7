import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PoisonedLoad } from './PoisonedLoad.js';
import type { PoisonedLoadOptions } from './PoisonedLoad.js';

/** Time in which all processes have to know what one has learned. */
const CONTACT_MS = 3000;
/** Prompts with a deadly part that may be sent once it has ended five engines. */
const MAX_LATE = 3;
const MAX_ENDED = 8;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function assertContained(options: Omit<PoisonedLoadOptions, 'seed'>): void {
  for (const seed of SEEDS) {
    const load = new PoisonedLoad({ ...options, seed });
    load.run();
    assert.ok(load.crashTimes.size > 0);
    for (const [part, crashes] of load.crashTimes) {
      const knownAt = (crashes[4] ?? Infinity) + CONTACT_MS;
      const late = (load.placementTimes.get(part) ?? []).filter((at) => at > knownAt);
      assert.ok(late.length <= MAX_LATE, `seed ${seed}: ${late.length} late prompts with ${part}`);
      assert.ok(crashes.length <= MAX_ENDED, `seed ${seed}: ${part} ended ${crashes.length}`);
    }
    const begun = load.soundAttempts.filter(({ hasBegun }) => hasBegun).length;
    const share = begun / load.soundAttempts.length;
    assert.ok(share > 0.9, `seed ${seed}: ${share} of the sound prompts began at once`);
  }
}

// Guards against one part of prompts that ends engine after engine.
test('a deadly part ends few engines and costs no other prompts', () => {
  assertContained({ deadlyShares: [0.05] });
});

test('a deadly part in a third of the prompts ends few engines', () => {
  assertContained({ deadlyShares: [0.33] });
});

test('a deadly part whose first part is rare does not cost the sound prompts with that part', () => {
  assertContained({ deadlyShares: [0.05], firstPartShare: 0.02, seconds: 60 });
});

test('several deadly parts at once are told apart', () => {
  assertContained({ deadlyShares: [0.04, 0.08, 0.02] });
});

test('a deadly part is found beside engines that end by themselves', () => {
  const outages = [2000, 2500, 6000, 6005, 11_000].map((atMs) => ({ atMs, engines: 6 }));
  assertContained({ deadlyShares: [0.05], outages });
});

test('a large fleet loses no more engines to a deadly part than a small one', () => {
  assertContained({ deadlyShares: [0.05], engines: 60, requestsPerSecond: 100, seconds: 15 });
});
