import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Handover } from '../../src/index.js';

/** Counts what happens to the places of one piece of work. */
class Places {
  readonly searches: ((place: string | undefined) => void)[] = [];

  readonly released: string[] = [];

  abandonments = 0;

  readonly handover = new Handover<string>({
    reserve: () =>
      new Promise((resolve) => {
        this.searches.push(resolve);
      }),
    release: (place) => this.released.push(place),
    onReserved: () => {
      this.abandonments += 1;
    },
  });

  /** Ends the oldest search that is under way. */
  async answer(place: string | undefined): Promise<void> {
    this.searches.shift()?.(place);
    await Promise.resolve();
    await Promise.resolve();
  }
}

test('work is given up once another place is reserved', async () => {
  const places = new Places();
  const result = places.handover.begin();
  assert.equal(places.abandonments, 0);
  await places.answer('b');
  assert.deepEqual([await result, places.abandonments], [true, 1]);
  assert.equal(places.handover.take(), 'b');
  places.handover.close();
  assert.deepEqual(places.released, []);
});

// Guards against work that is cut although nothing else can take it over.
test('work is not given up while there is no other place', async () => {
  const places = new Places();
  const result = places.handover.begin();
  await places.answer(undefined);
  assert.deepEqual([await result, places.abandonments], [false, 0]);
  const second = places.handover.begin();
  await places.answer('b');
  assert.deepEqual([await second, places.abandonments], [true, 1]);
});

// Guards against work that is cut after it has gone on.
test('work that makes progress during the search goes on, and the place is given back', async () => {
  const places = new Places();
  const result = places.handover.begin();
  places.handover.cancel();
  await places.answer('b');
  assert.deepEqual([await result, places.abandonments], [false, 0]);
  assert.deepEqual(places.released, ['b']);
});

test('one search serves all that ask for it', async () => {
  const places = new Places();
  const results = [places.handover.begin(), places.handover.begin()];
  assert.equal(places.searches.length, 1);
  await places.answer('b');
  assert.deepEqual(await Promise.all(results), [true, true]);
  assert.equal(places.abandonments, 1);
});

test('a place that is not taken is given back at the end', async () => {
  const places = new Places();
  places.handover.begin();
  await places.answer('b');
  places.handover.close();
  assert.deepEqual(places.released, ['b']);
  assert.equal(await places.handover.begin(), false);
});

test('work is given up only for a place, and each place is taken or given back once', async () => {
  const step = fc.constantFrom('begin', 'progress', 'found', 'nothing', 'take');
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
      const places = new Places();
      const granted: string[] = [];
      const taken: string[] = [];
      const take = (): void => {
        const place = places.handover.take();
        if (place !== undefined) taken.push(place);
      };
      for (const each of steps) {
        if (each === 'begin') places.handover.begin();
        else if (each === 'progress') places.handover.cancel();
        else if (each === 'take') take();
        else if (places.searches.length > 0) {
          const place = each === 'found' ? `place-${granted.length}` : undefined;
          if (place !== undefined) granted.push(place);
          await places.answer(place);
        }
        assert.ok(places.abandonments + places.released.length <= granted.length);
      }
      places.handover.close();
      while (places.searches.length > 0) await places.answer(undefined);
      assert.deepEqual([...taken, ...places.released].sort(), [...granted].sort());
    }),
  );
});
