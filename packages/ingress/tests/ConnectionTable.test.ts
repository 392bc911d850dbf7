import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ConnectionTable } from '../src/index.js';
import type {
  Admission,
  CloseReason,
  Connection,
  ConnectionLimits,
  ReaderProgress,
} from '../src/index.js';

const LIMITS: ConnectionLimits = {
  maxConnections: 10,
  maxDescriptors: 100,
  maxAheadTotal: 100,
  maxHeld: 100,
  addressShare: 1,
  silentShare: 1,
};

/** A table whose clients are scripted; `closed` has the names of those that it closed. */
class TestTable {
  readonly closed: string[] = [];

  readonly table: ConnectionTable;

  constructor(limits: Partial<ConnectionLimits> = {}) {
    this.table = new ConnectionTable({ ...LIMITS, ...limits });
  }

  open(name: string, options: Partial<ClientOptions> = {}): Connection | undefined {
    const admission = this.table.open({
      address: options.address ?? 'a',
      now: options.now ?? 0,
      close: (reason: CloseReason) => this.closed.push(`${name} ${reason}`),
      getProgress: () => options.progress ?? { takenBytes: 0, waitingBytes: 0 },
    });
    return 'refusal' in admission ? undefined : admission.connection;
  }

  openAll(count: number, options: Partial<ClientOptions> = {}): Connection[] {
    return Array.from({ length: count }, (_, index) => this.open(`${index}`, options)).filter(
      (connection) => connection !== undefined,
    );
  }

  begin(connections: Connection[]): void {
    connections.forEach((connection) => this.table.beginRequest(connection));
  }
}

interface ClientOptions {
  address: string;
  now: number;
  progress: ReaderProgress;
}

test('the connection that is idle for longest makes room', () => {
  const site = new TestTable();
  const [first, second] = site.openAll(10) as [Connection, Connection];
  site.begin([first, second]);
  site.table.endRequest(first, 5);
  site.open('new');
  assert.deepEqual(site.closed, ['2 evicted']);
  assert.equal(site.table.connectionCount, 10);
});

test('a connection in use is not closed for a new one', () => {
  const site = new TestTable();
  site.begin(site.openAll(10));
  assert.equal(site.open('new'), undefined);
  assert.deepEqual(site.closed, []);
});

test('connections that have not sent a request make room for each other', () => {
  const site = new TestTable({ silentShare: 0.5 });
  const kept = site.openAll(2);
  site.begin(kept);
  kept.forEach((connection) => site.table.endRequest(connection, 1));
  for (let index = 0; index < 20; index += 1) site.open('silent');
  assert.equal(site.table.silentCount, 5);
  assert.ok(kept.every((connection) => connection.openRequests === 0));
  assert.ok(site.closed.every((entry) => entry === 'silent evicted'));
});

test('one address leaves room for the others', () => {
  const site = new TestTable({ addressShare: 0.8 });
  site.begin(site.openAll(8));
  assert.equal(site.open('crowd'), undefined);
  assert.ok(site.open('other', { address: 'b' }));
});

test('an address at its share closes its own idle connection', () => {
  const site = new TestTable({ addressShare: 0.5 });
  site.open('other', { address: 'b' });
  site.openAll(6);
  assert.deepEqual(site.closed, ['0 evicted']);
});

test('a request in service sets a descriptor aside for its upstream', () => {
  const site = new TestTable({ maxDescriptors: 8 });
  site.begin(site.openAll(8).slice(4));
  // Four in use with one descriptor each beside their own leave no room for idle ones.
  assert.equal(site.table.connectionCount, 4);
  assert.equal(site.open('new'), undefined);
});

test('connections to upstreams count against the descriptors', () => {
  let serving = 0;
  const site = new TestTable({ maxDescriptors: 8, getServingDescriptors: () => serving });
  site.openAll(4);
  serving = 6;
  site.open('new');
  assert.equal(site.table.descriptorCount, 8);
});

test('a connection waits with its requests beyond the limit', () => {
  const site = new TestTable({ maxAhead: 2 });
  const [connection] = site.openAll(1) as [Connection];
  const mayParse = [0, 1, 2].map(() => {
    site.begin([connection]);
    return site.table.mayParse(connection);
  });
  assert.deepEqual(mayParse, [true, true, false]);
  site.table.endRequest(connection, 0);
  assert.ok(site.table.mayParse(connection));
});

test('many requests ahead on other connections leave each one ahead', () => {
  const site = new TestTable({ maxAheadTotal: 3 });
  const [crowd, ordinary] = site.openAll(2) as [Connection, Connection];
  site.begin([crowd, crowd, crowd, crowd]);
  site.begin([ordinary]);
  assert.ok(site.table.mayParse(ordinary));
  site.begin([ordinary]);
  assert.ok(!site.table.mayParse(ordinary));
});

test('the last of too many connections held back ends after its responses', () => {
  const site = new TestTable({ maxHeld: 2 });
  const connections = site.openAll(3);
  site.begin(connections);
  const isKept = connections.map((connection) => site.table.hold(connection));
  assert.deepEqual(isKept, [true, true, false]);
  assert.deepEqual(
    connections.map(({ isClosing }) => isClosing),
    [false, false, true],
  );
  assert.deepEqual(site.closed, []);
});

test('a reader that takes nothing is closed, a slow one is not', () => {
  const site = new TestTable({ readerTimeoutMs: 3000 });
  const stuck = { takenBytes: 100, waitingBytes: 50 };
  const slow = { takenBytes: 100, waitingBytes: 50 };
  site.begin([
    site.open('stuck', { progress: stuck }),
    site.open('slow', { progress: slow }),
  ] as Connection[]);
  for (let now = 0; now <= 10_000; now += 1000) {
    slow.takenBytes += 1;
    site.table.closeExpired(now);
  }
  assert.deepEqual(site.closed, ['stuck reader']);
});

test('a request that waits for its upstream is no stuck reader', () => {
  const site = new TestTable({ readerTimeoutMs: 3000, getIdleTimeoutMs: () => 5000 });
  site.begin([
    site.open('waiting', { progress: { takenBytes: 7, waitingBytes: 0 } }),
  ] as Connection[]);
  for (let now = 0; now <= 60_000; now += 1000) site.table.closeExpired(now);
  assert.deepEqual(site.closed, []);
});

test('a head that does not end is given up, a silent connection is idle', () => {
  const site = new TestTable({ getHeadTimeoutMs: () => 3000, getIdleTimeoutMs: () => 30_000 });
  const head = site.open('head') as Connection;
  site.open('silent');
  for (let now = 1000; now < 30_000; now += 1000) {
    head.receiveHead(now);
    site.table.closeExpired(now);
  }
  assert.deepEqual(site.closed, ['head head']);
  site.table.closeExpired(30_000);
  assert.deepEqual(site.closed, ['head head', 'silent idle']);
});

const actionArbitrary = fc.oneof(
  fc.record({ kind: fc.constant('open' as const), address: fc.constantFrom('a', 'b', 'c') }),
  fc.record({
    kind: fc.constantFrom('begin' as const, 'end' as const, 'hold' as const, 'leave' as const),
    index: fc.nat(30),
  }),
);

test('no sequence exceeds the limits or closes a connection in use', () => {
  fc.assert(
    fc.property(fc.array(actionArbitrary, { maxLength: 200 }), (actions) => {
      const table = new ConnectionTable({ ...LIMITS, maxDescriptors: 14, maxHeld: 3 });
      const connections = new Set<Connection>();
      const open = (address: string): void => {
        const admission: Admission = table.open({
          address,
          now: 0,
          close: () => {
            const { connection } = admission as { connection: Connection };
            assert.equal(connection.openRequests, 0);
            connections.delete(connection);
          },
          getProgress: () => ({ takenBytes: 0, waitingBytes: 0 }),
        });
        if ('connection' in admission) connections.add(admission.connection);
      };
      for (const action of actions) {
        if (action.kind === 'open') open(action.address);
        else {
          const connection = [...connections][action.index % Math.max(1, connections.size)];
          if (!connection) continue;
          if (action.kind === 'begin') table.beginRequest(connection);
          else if (action.kind === 'hold') table.hold(connection);
          else if (action.kind === 'leave') {
            table.remove(connection);
            connections.delete(connection);
          } else if (connection.openRequests > 0) table.endRequest(connection, 0);
        }
        const list = [...connections];
        const inUse = list.filter(({ openRequests }) => openRequests > 0).length;
        assert.equal(table.connectionCount, list.length);
        assert.equal(table.idleCount, list.length - inUse);
        assert.equal(
          table.aheadCount,
          list.reduce((sum, { requestsAhead }) => sum + requestsAhead, 0),
        );
        assert.equal(table.heldCount, list.filter(({ isHeld }) => isHeld).length);
        assert.ok(list.length <= LIMITS.maxConnections && table.heldCount <= 3);
        assert.ok(table.descriptorCount <= 14 || inUse === list.length);
      }
    }),
  );
});
