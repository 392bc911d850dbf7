import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  CorruptStorageError,
  FileStorage,
  FolderDisk,
  getOrCreateIdentity,
  StorageError,
} from '../../src/index.js';
import type { LogEntry } from '../../src/index.js';
import { MemoryDisk } from './MemoryDisk.js';

function createEntry(index: number, text = `entry ${index}`): LogEntry {
  return { index, term: 1, kind: 'command', payload: Buffer.from(text) };
}

async function createDiskWithEntries(count: number): Promise<MemoryDisk> {
  const disk = new MemoryDisk();
  const storage = new FileStorage(disk);
  for (let index = 1; index <= count; index += 1) await storage.append([createEntry(index)]);
  return disk;
}

async function loadIndexes(disk: MemoryDisk): Promise<number[]> {
  const { entries } = await new FileStorage(disk).load();
  return entries.map((each) => each.index);
}

test('entries survive a restart', async () => {
  assert.deepEqual(await loadIndexes(await createDiskWithEntries(3)), [1, 2, 3]);
});

test('a torn tail of any length is truncated', async () => {
  const whole = (await createDiskWithEntries(3)).files.get('log') ?? Buffer.alloc(0);
  const twoEntryBytes = (await createDiskWithEntries(2)).files.get('log')?.length ?? 0;
  for (let length = twoEntryBytes; length < whole.length; length += 1) {
    const disk = new MemoryDisk();
    disk.files.set('log', whole.subarray(0, length));
    assert.deepEqual(await loadIndexes(disk), [1, 2]);
    assert.equal(disk.files.get('log')?.length, twoEntryBytes);
  }
});

test('a tail of zero bytes is ignored', async () => {
  const disk = await createDiskWithEntries(2);
  disk.files.set(
    'log',
    Buffer.concat([disk.files.get('log') ?? Buffer.alloc(0), Buffer.alloc(64)]),
  );
  assert.deepEqual(await loadIndexes(disk), [1, 2]);
});

test('a damaged frame followed by intact ones is an error', async () => {
  const disk = await createDiskWithEntries(3);
  const file = disk.files.get('log') ?? Buffer.alloc(0);
  file[20] = (file[20] ?? 0) + 1;
  await assert.rejects(loadIndexes(disk), CorruptStorageError);
});

test('a last frame with any byte damaged is truncated', async () => {
  const whole = (await createDiskWithEntries(3)).files.get('log') ?? Buffer.alloc(0);
  const twoEntryBytes = (await createDiskWithEntries(2)).files.get('log')?.length ?? 0;
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: twoEntryBytes, max: whole.length - 1 }),
      fc.integer({ min: 1, max: 255 }),
      async (at, by) => {
        const disk = new MemoryDisk();
        const file = Buffer.from(whole);
        file[at] = ((file[at] ?? 0) + by) % 256;
        disk.files.set('log', file);
        assert.deepEqual(await loadIndexes(disk), [1, 2]);
        assert.equal(disk.files.get('log')?.length, twoEntryBytes);
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});

test('any damaged byte before the last frame is an error', async () => {
  const whole = (await createDiskWithEntries(3)).files.get('log') ?? Buffer.alloc(0);
  const twoEntryBytes = (await createDiskWithEntries(2)).files.get('log')?.length ?? 0;
  await fc.assert(
    fc.asyncProperty(
      fc.nat(twoEntryBytes - 1),
      fc.integer({ min: 1, max: 255 }),
      async (at, by) => {
        const disk = new MemoryDisk();
        const file = Buffer.from(whole);
        file[at] = ((file[at] ?? 0) + by) % 256;
        disk.files.set('log', file);
        await assert.rejects(loadIndexes(disk), CorruptStorageError);
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});

test('a write to a full disk rejects with StorageError', async () => {
  const disk = await createDiskWithEntries(1);
  disk.fault = 'full';
  const storage = new FileStorage(disk);
  await assert.rejects(storage.append([createEntry(2)]), StorageError);
});

test('all writes after a failed sync are rejected', async () => {
  const disk = await createDiskWithEntries(1);
  const storage = new FileStorage(disk);
  disk.fault = 'sync';
  await assert.rejects(storage.append([createEntry(2)]), StorageError);
  disk.fault = 'none';
  await assert.rejects(storage.append([createEntry(2)]), /an earlier write failed/);
});

test('entries covered by a snapshot are not loaded', async () => {
  const disk = await createDiskWithEntries(5);
  const storage = new FileStorage(disk);
  await storage.saveSnapshot({ index: 3, term: 1, members: [], state: Buffer.from('s') });
  const loaded = await new FileStorage(disk).load();
  assert.equal(loaded.snapshot?.state.toString(), 's');
  assert.deepEqual(
    loaded.entries.map((each) => each.index),
    [4, 5],
  );
});

test('a truncated snapshot is an error', async () => {
  const disk = await createDiskWithEntries(1);
  await new FileStorage(disk).saveSnapshot({
    index: 1,
    term: 1,
    members: [],
    state: Buffer.from('state'),
  });
  disk.files.set('snapshot', disk.files.get('snapshot')?.subarray(0, -1) ?? Buffer.alloc(0));
  await assert.rejects(new FileStorage(disk).load(), CorruptStorageError);
});

test('FolderDisk keeps the stored state and the identity across a reopen', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'azurecart-'));
  const disk = await FolderDisk.open(folder);
  const storage = new FileStorage(disk);
  await storage.append([createEntry(1)]);
  await storage.saveBallot({ term: 4, votedFor: 'b' });
  await storage.replaceEntries([createEntry(1), createEntry(2)]);
  await storage.append([createEntry(3)]);
  const id = await getOrCreateIdentity(disk);
  await storage.close();
  const reopened = await FolderDisk.open(folder);
  const loaded = await new FileStorage(reopened).load();
  assert.equal(loaded.entries.length, 3);
  assert.deepEqual(loaded.ballot, { term: 4, votedFor: 'b' });
  assert.equal(await getOrCreateIdentity(reopened), id);
  await reopened.close();
  await rm(folder, { recursive: true });
});
