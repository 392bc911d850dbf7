/** Runs three replicas of a counter in one process: `node dist/examples/counter.js`. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { FileStorage, FolderDisk, getOrCreateIdentity, Replica } from '../src/index.js';
import type { Peer, StateMachine } from '../src/index.js';

/** State machine that adds each command to a number. */
class Counter implements StateMachine {
  value = 0;

  apply(command: Uint8Array): number {
    this.value += Number(Buffer.from(command).toString());
    return this.value;
  }

  takeSnapshot(): Uint8Array {
    return Buffer.from(String(this.value));
  }

  restore(state: Uint8Array): void {
    this.value = Number(Buffer.from(state).toString());
  }
}

const NAMES = ['a', 'b', 'c'];
const POLL_MS = 50;

const replicas = new Map<string, Replica>();

/** Calls a replica in this process directly; a real transport sends messages over the network. */
function openPeer(address: string): Peer {
  const getReplica = (): Replica => {
    const replica = replicas.get(address);
    if (!replica) throw new Error(`no replica at ${address}`);
    return replica;
  };
  return {
    vote: async (request) => getReplica().vote(request),
    append: async (request) => getReplica().append(request),
    installSnapshot: async (request) => getReplica().installSnapshot(request),
    close: () => undefined,
  };
}

async function startReplica(name: string, folder: string): Promise<Replica> {
  const disk = await FolderDisk.open(join(folder, name));
  const replica = new Replica({
    id: await getOrCreateIdentity(disk),
    name,
    address: name,
    storage: new FileStorage(disk),
    stateMachine: new Counter(),
    network: { openPeer },
  });
  replicas.set(name, replica);
  await replica.start();
  return replica;
}

const folder = await mkdtemp(join(tmpdir(), 'counter-'));
const [leader, ...others] = await Promise.all(NAMES.map((name) => startReplica(name, folder)));
if (!leader) throw new Error('no replica');
await leader.bootstrap();
while (!leader.hasLease()) await sleep(POLL_MS);
others.forEach(({ id }, index) => {
  const name = NAMES[index + 1] ?? '';
  leader.addMember({ id, name, address: name });
});
while (leader.getMembers().filter(({ voter }) => voter).length < NAMES.length) await sleep(POLL_MS);
await leader.propose(Buffer.from('40'));
const total = await leader.propose(Buffer.from('2'));
process.stdout.write(`value of the counter on ${NAMES.length} replicas: ${String(total)}\n`);
for (const replica of replicas.values()) await replica.stop();
await rm(folder, { recursive: true });
