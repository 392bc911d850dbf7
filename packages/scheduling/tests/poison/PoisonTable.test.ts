import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PoisonTable } from '../../src/index.js';
import type { PartEvidence, PartVerdict } from '../../src/index.js';

function createTable(clock = { now: 100_000 }) {
  return { clock, table: new PoisonTable({ now: () => clock.now }) };
}

type Table = ReturnType<typeof createTable>;

/** Ends an engine for each list of parts, half a second apart. */
function crash(site: Table, prompts: string[][], prefix = 'e'): void {
  const { clock, table } = site;
  prompts.forEach((parts, index) => {
    const sentAt = clock.now;
    clock.now += 100;
    table.recordCrash(`${prefix}${index}`, parts, sentAt);
    clock.now += 400;
  });
}

function getKinds({ table }: Table, ...parts: string[]): PartVerdict['kind'][] {
  return parts.map((part) => table.judge([part]).kind);
}

test('a part is suspect after one crash and quarantined after three', () => {
  const site = createTable();
  crash(site, [['a']]);
  assert.deepEqual(getKinds(site, 'a', 'b'), ['suspect', 'sound']);
  crash(site, [['a'], ['a']], 'f');
  assert.deepEqual(getKinds(site, 'a', 'b'), ['quarantined', 'sound']);
});

// Guards against the crash of one engine that counts once for each process that reports it.
test('reports of the same crash count once', () => {
  const site = createTable();
  for (let report = 0; report < 9; report += 1) site.table.recordCrash('e', ['a'], report);
  assert.deepEqual(getKinds(site, 'a'), ['suspect']);
});

test('an answer clears the parts of a prompt', () => {
  const site = createTable();
  crash(site, [
    ['a', 'b'],
    ['a', 'b'],
    ['a', 'b'],
    ['a', 'b'],
  ]);
  assert.deepEqual(site.table.recordAnswer(['b', 'c']), ['b']);
  assert.deepEqual(getKinds(site, 'a', 'b', 'c'), ['quarantined', 'sound', 'sound']);
});

test('a part that was answered lately is not suspect after two crashes', () => {
  const site = createTable();
  site.table.recordAnswer(['a']);
  crash(site, [['a'], ['a']]);
  assert.deepEqual(getKinds(site, 'a'), ['sound']);
  site.clock.now += 20_000;
  assert.deepEqual(getKinds(site, 'a'), ['suspect']);
});

// Guards against a quarantine of all prompts when a data centre loses its engines at once.
test('engines that end at the same moment count as one crash', () => {
  const site = createTable();
  for (let engine = 0; engine < 18; engine += 1) {
    site.table.recordCrash(`e${engine}`, ['a'], site.clock.now - 100);
    site.clock.now += 2;
  }
  assert.deepEqual(getKinds(site, 'a'), ['suspect']);
});

// Guards against the quarantine of a first part that all prompts with a deadly one have.
test('a part that was on board only together with a quarantined one is not accused', () => {
  const site = createTable();
  crash(site, [['dead'], ['dead', 'first'], ['dead', 'first'], ['dead', 'first']]);
  assert.deepEqual(getKinds(site, 'dead', 'first'), ['quarantined', 'sound']);
});

test('parts that always come together are told apart by a prompt with one of them', () => {
  const site = createTable();
  crash(site, [
    ['first', 'dead'],
    ['first', 'dead'],
    ['first', 'dead'],
  ]);
  site.clock.now += 1000;
  assert.equal(site.table.judge(['first', 'dead']).kind, 'quarantined');
  assert.equal(site.table.judge(['first']).kind, 'suspect');
  site.table.recordAnswer(['first']);
  assert.deepEqual(getKinds(site, 'first', 'dead'), ['sound', 'suspect']);
});

// Guards against refusals of sound prompts whose first part came along with a deadly one three times.
test('a part that was answered just before its crashes is tried at once, but not with another one', () => {
  const site = createTable();
  site.table.recordAnswer(['first']);
  crash(site, [
    ['first', 'dead'],
    ['first', 'dead'],
    ['first', 'dead'],
  ]);
  assert.deepEqual(getKinds(site, 'first', 'dead'), ['suspect', 'quarantined']);
  assert.equal(site.table.judge(['first', 'dead']).kind, 'quarantined');
});

test('a quarantined part is tried again ever later, and no more than twice after its fifth crash', () => {
  const site = createTable();
  crash(site, [['a'], ['a']]);
  const trials: number[] = [];
  const endAt = site.clock.now + 24 * 3_600_000;
  while (site.clock.now < endAt) {
    const verdict = site.table.judge(['a']);
    if (verdict.kind === 'quarantined') site.clock.now += Math.min(verdict.retryAfterMs, 3_600_000);
    else {
      trials.push(site.clock.now);
      site.table.recordCrash(`t${trials.length}`, ['a'], site.clock.now);
    }
    site.table.removeExpired();
  }
  assert.equal(trials.length, 5);
  const pauses = trials.slice(1).map((at, index) => at - (trials[index] ?? 0));
  assert.deepEqual(pauses, [1000, 10_000, 600_000, 3_600_000]);
});

test('evidence expires unless the part has had its last trials', () => {
  const site = createTable();
  crash(site, [['rare']]);
  crash(site, [['dead'], ['dead'], ['dead'], ['dead'], ['dead']], 'f');
  site.clock.now += 100_000_000;
  site.table.removeExpired();
  assert.deepEqual(getKinds(site, 'rare'), ['sound']);
  assert.equal(site.table.getEvidence().length, 1);
});

test('the table stays bounded and keeps the parts with the most evidence', () => {
  const site = createTable();
  crash(site, [['dead'], ['dead'], ['dead']]);
  for (let index = 0; index < 3000; index += 1)
    site.table.recordCrash(`g${index}`, [`p${index}`], 0);
  assert.ok(site.table.getEvidence().length <= 1000);
  assert.deepEqual(getKinds(site, 'dead'), ['quarantined']);
});

test('merging evidence gives the same verdicts in any order and repeatedly', () => {
  const crashes = fc.array(
    fc.record({
      part: fc.constantFrom('a', 'b', 'c'),
      crashes: fc.array(
        fc.record({
          engine: fc.constantFrom('e', 'f', 'g', 'h'),
          ageMs: fc.constant(0),
          sentAgeMs: fc.constant(0),
        }),
        { maxLength: 4 },
      ),
      answeredAgeMs: fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }),
    }),
    { maxLength: 6 },
  );
  /** Reports of one crash differ by less than a second, so an engine has one age here. */
  const unify = (evidence: PartEvidence[]): PartEvidence[] =>
    evidence.map((each) => ({
      ...each,
      crashes: each.crashes.map(({ engine }) => ({
        engine,
        ageMs: 1000 * engine.charCodeAt(0),
        sentAgeMs: 1000 * engine.charCodeAt(0) + 100,
      })),
      answeredAgeMs: each.answeredAgeMs && each.answeredAgeMs * 20_000,
    }));
  fc.assert(
    fc.property(crashes, (drawn) => {
      const evidence = unify(drawn);
      const once = createTable({ now: 1_000_000 });
      once.table.merge(evidence);
      const often = createTable({ now: 1_000_000 });
      [...evidence].reverse().forEach((each) => often.table.merge([each, each]));
      assert.deepEqual(often.table.merge(evidence), []);
      const parts = ['a', 'b', 'c'];
      assert.deepEqual(getKinds(often, ...parts), getKinds(once, ...parts));
    }),
  );
});

test('only new evidence is passed on', () => {
  const site = createTable();
  crash(site, [['a', 'b']]);
  const other = createTable(site.clock);
  assert.deepEqual(other.table.merge(site.table.getEvidence()), ['a', 'b']);
  assert.deepEqual(other.table.merge(site.table.getEvidence()), []);
  other.table.recordAnswer(['a']);
  assert.deepEqual(site.table.merge(other.table.getEvidence()), ['a']);
  assert.deepEqual(getKinds(site, 'a', 'b'), ['sound', 'suspect']);
});
