import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '@msgpack/msgpack';
import fc from 'fast-check';
import {
  ConfigurationState,
  encodeOrder,
  encodeProposal,
} from '../../src/control/ConfigurationState.js';
import { Evacuations } from '../../src/control/Evacuations.js';
import { versionCodec } from './ControlCluster.js';

function createState(): ConfigurationState {
  return new ConfigurationState({ codec: versionCodec, onChanged: () => undefined });
}

const orders = fc.array(
  fc.record({
    dataCentre: fc.constantFrom('a', 'b', 'c'),
    isEvacuated: fc.boolean(),
    /** How far the sender of the order lags behind the log. */
    lag: fc.integer({ min: 0, max: 3 }),
  }),
);

test('a repeated order is in force and changes nothing', () => {
  const evacuations = new Evacuations();
  const order = { dataCentre: 'a', isEvacuated: true, seenRevision: 0 };
  assert.deepEqual(evacuations.apply(order), { isInForce: true, revision: 1 });
  assert.deepEqual(evacuations.apply(order), { isInForce: true, revision: 1 });
  assert.deepEqual(evacuations.current, { revision: 1, dataCentres: ['a'] });
});

// Guards against an order that was held up on a link and undoes one acknowledged since.
test('an order that comes late does not undo a later one', () => {
  const evacuations = new Evacuations();
  const evacuate = { dataCentre: 'a', isEvacuated: true, seenRevision: 0 };
  evacuations.apply(evacuate);
  evacuations.apply({ dataCentre: 'a', isEvacuated: false, seenRevision: 1 });
  assert.deepEqual(evacuations.apply(evacuate), { isInForce: false, revision: 2 });
  assert.deepEqual(evacuations.current.dataCentres, []);
  assert.deepEqual(evacuations.apply({ ...evacuate, seenRevision: 2 }), {
    isInForce: true,
    revision: 3,
  });
});

test('the withdrawal of an evacuation that is not in force is accepted', () => {
  const evacuations = new Evacuations();
  const order = { dataCentre: 'a', isEvacuated: false, seenRevision: 0 };
  assert.deepEqual(evacuations.apply(order), { isInForce: true, revision: 0 });
});

// A replica whose storage failed applies its log again to the state that it has.
test('applying the log again changes nothing', () => {
  fc.assert(
    fc.property(orders, (given) => {
      const evacuations = new Evacuations();
      const log = given.map(({ lag, ...order }) => {
        const seenRevision = Math.max(0, evacuations.current.revision - lag);
        const applied = { ...order, seenRevision };
        evacuations.apply(applied);
        return applied;
      });
      const before = evacuations.current;
      log.forEach((order) => evacuations.apply(order));
      assert.deepEqual(evacuations.current, before);
    }),
  );
});

test('a snapshot holds the document and the evacuated data centres', () => {
  const state = createState();
  state.apply(encodeProposal({ version: 7, document: Buffer.from('7') }));
  state.apply(encodeOrder({ dataCentre: 'a', isEvacuated: true, seenRevision: 0 }));
  const restored = createState();
  restored.restore(state.takeSnapshot());
  assert.equal(restored.configuration?.version, 7);
  assert.deepEqual(restored.evacuation, { revision: 1, dataCentres: ['a'] });
});

test('an evacuation may come before the first document', () => {
  const state = createState();
  state.apply(encodeOrder({ dataCentre: 'a', isEvacuated: true, seenRevision: 0 }));
  assert.equal(state.configuration, undefined);
  const restored = createState();
  restored.restore(state.takeSnapshot());
  assert.equal(restored.configuration, undefined);
  assert.deepEqual(restored.evacuation.dataCentres, ['a']);
});

test('snapshots and commands of earlier versions are read', () => {
  const state = createState();
  state.restore(encode(null));
  assert.deepEqual([state.configuration, state.evacuation.revision], [undefined, 0]);
  state.restore(encode({ version: 3, document: Buffer.from('3') }));
  assert.equal(state.configuration?.version, 3);
  assert.deepEqual(state.evacuation, { revision: 0, dataCentres: [] });
  state.apply(encode({ version: 4, document: Buffer.from('4') }));
  assert.equal(state.configuration?.version, 4);
});
