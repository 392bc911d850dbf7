import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { encodeMembers, FileStorage, Replica } from '../../src/index.js';
import type { AppendRequest, LogEntry, VoteRequest, VoteResponse } from '../../src/index.js';
import { MemoryDisk } from '../storage/MemoryDisk.js';
import { Cluster } from './Cluster.js';
import { TextList } from './TextList.js';

/** Creates a disk that holds a log of two entries in term 1. */
async function createStoredLog(): Promise<MemoryDisk> {
  const disk = new MemoryDisk();
  const storage = new FileStorage(disk);
  await storage.load();
  await storage.saveBallot({ term: 1, votedFor: undefined });
  const payload = Buffer.from('old');
  await storage.append([
    { index: 1, term: 1, kind: 'command', payload },
    { index: 2, term: 1, kind: 'command', payload },
  ]);
  await storage.close();
  return disk;
}

async function startReplica(
  disk: MemoryDisk,
  options: { usesLeases?: boolean; snapshotBytes?: number } = {},
): Promise<Replica> {
  const replica = new Replica({
    id: 'b',
    name: 'b',
    address: 'b',
    storage: new FileStorage(disk),
    stateMachine: new TextList(),
    network: new Cluster('b'),
    ...options,
  });
  await replica.start();
  return replica;
}

function createAppend(commitIndex: number, entries: LogEntry[] = []): AppendRequest {
  return {
    to: 'b',
    term: 2,
    leader: 'a',
    previousIndex: 2,
    previousTerm: 1,
    commitIndex,
    entries,
  };
}

test("state is recent only once an entry of the new leader's term is committed", async () => {
  const replica = await startReplica(await createStoredLog());
  await replica.append(createAppend(0));
  assert.equal(replica.isRecent(10_000), false);
  await replica.append(createAppend(1));
  assert.equal(replica.isRecent(10_000), false);
  const noop: LogEntry = { index: 3, term: 2, kind: 'noop', payload: Buffer.alloc(0) };
  await replica.append(createAppend(3, [noop]));
  assert.equal(replica.isRecent(10_000), true);
  await replica.stop();
});

const VOTE_REQUEST: VoteRequest = {
  to: 'b',
  term: 2,
  candidate: 'a',
  lastIndex: 2,
  lastTerm: 1,
  preVote: false,
};

test('a replica that may have granted a lease withholds its vote after a restart', async () => {
  const replica = await startReplica(await createStoredLog());
  assert.equal((await replica.vote(VOTE_REQUEST)).granted, false);
  await replica.stop();
});

test('a restarted replica votes immediately when leases are not used', async () => {
  const replica = await startReplica(await createStoredLog(), { usesLeases: false });
  assert.equal((await replica.vote(VOTE_REQUEST)).granted, true);
  await replica.stop();
});

/** Creates a disk whose log names three voters. */
async function createMemberLog(): Promise<MemoryDisk> {
  const disk = new MemoryDisk();
  const storage = new FileStorage(disk);
  await storage.load();
  await storage.saveBallot({ term: 1, votedFor: undefined });
  const members = ['a', 'b', 'c'].map((id) => ({ id, name: id, address: id, voter: true }));
  const payload = encodeMembers(members);
  await storage.append([{ index: 1, term: 1, kind: 'members', payload }]);
  await storage.close();
  return disk;
}

// Guards against a second without a leader because the first campaign came before the others ran.
test('a restarted replica that reaches nobody soon campaigns again', async (context) => {
  let now = 0;
  let campaigns = 0;
  const vote = async (): Promise<VoteResponse> => {
    campaigns += 1;
    throw new Error('not reachable');
  };
  const replica = new Replica({
    id: 'b',
    name: 'b',
    address: 'b',
    storage: new FileStorage(await createMemberLog()),
    stateMachine: new TextList(),
    network: {
      openPeer: () => ({ ...new Cluster('b').openPeer('a'), vote }),
    },
    timings: { electionTimeoutMs: 1000 },
    usesLeases: false,
    now: () => now,
    random: () => 0,
  });
  context.after(() => replica.stop());
  await replica.start();
  // Each campaign asks two others. A replica that had a leader waits for 1000 ms between them.
  for (const [time, count] of [
    [300, 2],
    [600, 4],
    [900, 6],
  ] as const) {
    now = time;
    for (let tries = 0; campaigns < count && tries < 100; tries += 1) await sleep(20);
    assert.equal(campaigns, count);
  }
  await replica.append(createAppend(0));
  now = 1800;
  await sleep(100);
  assert.equal(campaigns, 6);
});

test('a log of large commands is compacted by its size in bytes', async () => {
  const replica = await startReplica(new MemoryDisk(), { snapshotBytes: 20_000 });
  await replica.bootstrap();
  while (replica.role !== 'leader') await replica.waitForChange(20);
  for (let index = 0; index < 50; index += 1) await replica.propose(Buffer.alloc(2000, 'x'));
  await replica.waitForChange(50);
  // Twice `snapshotBytes`.
  assert.ok(replica.logBytes < 40_000, `log size is ${replica.logBytes} bytes`);
  await replica.stop();
});
