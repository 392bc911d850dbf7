import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Registry } from 'prom-client';
import {
  HybridClock,
  Invariants,
  InvariantViolationError,
  mergeEvents,
  Timeline,
} from '../src/index.js';

test('timestamps increase while the wall clock stands still or is set back', () => {
  let wall = 1000;
  const clock = new HybridClock(() => wall);
  const first = clock.tick();
  const second = clock.tick();
  wall = 500;
  assert.ok(first < second && second < clock.tick());
});

test('a receiver whose wall clock is behind gets a later timestamp than the sender', () => {
  const sender = new HybridClock(() => 9000);
  const receiver = new HybridClock(() => 1000);
  const sent = sender.tick();
  receiver.observe(sent);
  assert.ok(receiver.tick() > sent);
});

test('a malformed timestamp is ignored', () => {
  const clock = new HybridClock(() => 1000);
  clock.observe('tomorrow');
  assert.match(clock.tick(), /^000000000001000\./);
});

test('events of several processes are merged in causal order', () => {
  const [a, b] = [new HybridClock(() => 5000), new HybridClock(() => 1)];
  const [one, two] = [a, b].map(
    (clock, index) => new Timeline({ process: `p${index}`, vm: 'v', clock }),
  );
  one?.record('sent');
  b.observe(a.tick());
  two?.record('received');
  const merged = mergeEvents([two?.getRecent() ?? [], one?.getRecent() ?? []]);
  assert.deepEqual(
    merged.map((event) => event.kind),
    ['sent', 'received'],
  );
});

test('an invariant violation is counted, recorded in the timeline and thrown', async () => {
  const registry = new Registry();
  const timeline = new Timeline({ process: 'p', vm: 'v', clock: new HybridClock() });
  const invariants = new Invariants({ registry, timeline });
  assert.ok(invariants.check('holds', true, () => ''));
  assert.throws(() => invariants.require('breaks', false, () => 'why'), InvariantViolationError);
  assert.match(await registry.metrics(), /violations_total{invariant="breaks"} 1/);
  assert.equal(timeline.getRecent()[0]?.detail, 'breaks: why');
});
