import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import { FatalFault, NotLeader } from '../../src/index.js';
import { Cluster } from './Cluster.js';
import type { Node } from './Cluster.js';

/** Longer than the silence after which a learner counts as gone. */
const LATE_JOIN_MS = 2200;

async function withThree(
  run: (cluster: Cluster, nodes: [Node, Node, Node]) => Promise<void>,
  snapshotEvery?: number,
): Promise<void> {
  const cluster = new Cluster('', undefined, snapshotEvery);
  try {
    await run(cluster, await cluster.startThree());
  } finally {
    await cluster.stopAll();
  }
}

async function waitForTexts(cluster: Cluster, node: Node, texts: string[]): Promise<void> {
  await cluster.waitFor(() => texts.every((text) => node.machine.texts.includes(text)));
}

test('a command reaches all replicas in order', () =>
  withThree(async (cluster, nodes) => {
    for (const text of ['x', 'y', 'z']) await cluster.add(text);
    for (const node of nodes) {
      await waitForTexts(cluster, node, ['z']);
      assert.deepEqual(node.machine.texts, ['x', 'y', 'z']);
    }
  }));

test('a follower refuses a proposal and names the leader', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    const follower = [...cluster.nodes.values()].find((node) => node !== leader);
    await assert.rejects(
      follower?.replica.propose(Buffer.from('x')) ?? Promise.resolve(),
      (error) => error instanceof NotLeader && error.leaderAddress === leader.name,
    );
  }));

test('service goes on with one of three dead', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    await cluster.stop(leader.name);
    await cluster.add('after');
    assert.ok((await cluster.getLeader()).machine.texts.includes('after'));
  }));

test('an isolated leader loses its lease before another is elected', () =>
  withThree(async (cluster) => {
    const old = await cluster.getLeader();
    cluster.isolate(old.name);
    await cluster.waitFor(() => {
      const leads = [...cluster.nodes.values()].filter(({ replica }) => replica.hasLease());
      assert.ok(leads.length <= 1, 'two replicas hold the lease');
      return leads.length === 1 && leads[0] !== old;
    });
  }));

test('an isolated member that returns does not depose the leader', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    const { term } = leader.replica;
    const other = [...cluster.nodes.values()].find((node) => node !== leader);
    cluster.isolate(other?.name ?? '');
    await sleep(800);
    cluster.heal();
    await cluster.add('still here');
    assert.equal(other?.replica.term, term);
    assert.equal((await cluster.getLeader()).name, leader.name);
  }));

test('a member that hears nothing does not depose the leader that others hear', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    const { term } = leader.replica;
    const deaf = [...cluster.nodes.values()].find((node) => node !== leader);
    cluster.cut(leader.name, deaf?.name ?? '');
    await sleep(1000);
    await cluster.add('still here');
    assert.equal((await cluster.getLeader()).name, leader.name);
    assert.equal(leader.replica.term, term);
  }));

test('an entry of an isolated leader is overwritten', () =>
  withThree(async (cluster) => {
    const old = await cluster.getLeader();
    cluster.isolate(old.name);
    const lost = old.replica.propose(Buffer.from('lost')).catch(() => 'failed');
    await cluster.waitFor(() => !old.replica.hasLease());
    await cluster.add('kept');
    cluster.heal();
    await waitForTexts(cluster, old, ['kept']);
    assert.equal(await lost, 'failed');
    assert.ok(!old.machine.texts.includes('lost'));
  }));

test('a restarted replica has what it acknowledged', () =>
  withThree(async (cluster, [, b]) => {
    await cluster.add('x');
    await waitForTexts(cluster, b, ['x']);
    const stopped = await cluster.stop('b');
    await cluster.add('y');
    const again = await cluster.start('b', stopped.disk, stopped.replica.id);
    await waitForTexts(cluster, again, ['x', 'y']);
  }));

test('a wiped member returns as a new one and replaces the old', () =>
  withThree(async (cluster) => {
    await cluster.add('x');
    const old = await cluster.stop('c');
    const wiped = await cluster.join('c');
    await waitForTexts(cluster, wiped, ['x']);
    const members = (await cluster.getLeader()).replica.getMembers();
    assert.ok(!members.some((member) => member.id === old.replica.id));
    assert.equal(members.filter((member) => member.voter).length, 3);
  }));

test('nothing is lost when a second member dies right after a repair', () =>
  withThree(async (cluster) => {
    for (let index = 0; index < 20; index += 1) await cluster.add(`before ${index}`);
    await cluster.stop('c');
    await cluster.join('c');
    await cluster.stop('b');
    await cluster.add('after');
    const leader = await cluster.getLeader();
    assert.equal(leader.machine.texts.filter((text) => text.startsWith('before')).length, 20);
  }));

test('a vote meant for the wiped replica is refused by the new one', () =>
  withThree(async (cluster, [, , c]) => {
    await cluster.stop('c');
    const fresh = await cluster.start('c');
    const vote = {
      to: c.replica.id,
      term: 99,
      candidate: 'a-1',
      lastIndex: 99,
      lastTerm: 99,
      preVote: false,
    };
    await assert.rejects(fresh.replica.vote(vote), FatalFault);
  }));

test('a member far behind gets a snapshot', () =>
  withThree(async (cluster) => {
    const stopped = await cluster.stop('c');
    for (let index = 0; index < 700; index += 1) await cluster.add(`entry ${index}`);
    const again = await cluster.start('c', stopped.disk, stopped.replica.id);
    await waitForTexts(cluster, again, ['entry 699']);
    assert.equal(again.machine.texts.length, 700);
  }, 50));

test('a replica whose sync fails stops and acknowledges nothing', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    leader.disk.fault = 'sync';
    await assert.rejects(leader.replica.propose(Buffer.from('x')));
    assert.ok(leader.events.some((event) => event.kind === 'fatal'));
    leader.disk.fault = 'none';
    await cluster.add('y');
    assert.notEqual((await cluster.getLeader()).name, leader.name);
  }));

test('a member is removed', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    const other = leader.replica.getMembers().find((member) => member.name !== leader.name);
    await leader.replica.removeMember(other?.id ?? '');
    assert.equal(leader.replica.getMembers().length, 2);
  }));

test('a member that joins long after the election stays a member', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    await sleep(LATE_JOIN_MS);
    await cluster.join('d');
    const removals = leader.events.filter(
      (event) => event.kind === 'members' && event.ids.length < 4,
    );
    assert.ok(removals.length <= 5, 'the newcomer was removed');
  }));

test('a member that was removed and added again is replicated to', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    const other = [...cluster.nodes.values()].find((node) => node !== leader);
    const id = other?.replica.id ?? '';
    await leader.replica.removeMember(id);
    await cluster.waitFor(() => leader.replica.getMembers().length === 2);
    const name = other?.name ?? '';
    leader.replica.addMember({ id, name, address: name });
    await cluster.waitFor(() =>
      leader.replica.getMembers().some((member) => member.id === id && member.voter),
    );
    await cluster.add('after');
    await cluster.waitFor(() => other?.machine.texts.includes('after') ?? false);
  }));

test('beyond the target a newcomer stays a learner until a voter falls silent', async () => {
  const cluster = new Cluster();
  cluster.targetVoters = 3;
  cluster.memberSilenceMs = 400;
  try {
    await cluster.startThree();
    const leader = await cluster.getLeader();
    const spare = await cluster.start('d');
    const isVoter = (): boolean | undefined =>
      leader.replica.getMembers().find(({ id }) => id === spare.replica.id)?.voter;
    await cluster.waitFor(() => {
      leader.replica.addMember({ id: spare.replica.id, name: 'd', address: 'd' });
      return isVoter() !== undefined;
    });
    await sleep(200);
    assert.equal(isVoter(), false);
    const silent = [...cluster.nodes.values()].find((node) => node !== leader && node !== spare);
    await cluster.stop(silent?.name ?? '');
    await cluster.waitFor(() => isVoter() === true);
    assert.equal(leader.replica.getMembers().length, 3);
  } finally {
    await cluster.stopAll();
  }
});

test('an isolated leader confirms no read', () =>
  withThree(async (cluster) => {
    const leader = await cluster.getLeader();
    assert.equal(await leader.replica.confirmRead(1000), true);
    cluster.isolate(leader.name);
    assert.equal(await leader.replica.confirmRead(100), false);
    assert.equal(await leader.replica.confirmRead(1000), false);
  }));

test('what a replica has loaded at its start is not recent until a leader is heard', () =>
  withThree(async (cluster) => {
    await cluster.add('x');
    const leader = await cluster.getLeader();
    const follower = [...cluster.nodes.values()].find((node) => node !== leader);
    const name = follower?.name ?? '';
    await cluster.waitFor(() => follower?.replica.isRecent(1000) ?? false);
    const stopped = await cluster.stop(name);
    for (const other of cluster.nodes.keys()) cluster.cut(other, name);
    const back = await cluster.start(name, stopped.disk, stopped.replica.id);
    assert.equal(back.replica.isRecent(10_000), false);
    cluster.heal();
    await cluster.waitFor(() => back.replica.isRecent(1000));
  }));

test('a new leader stays when the first answers take a while', () =>
  withThree(async (cluster) => {
    cluster.slowDown(40);
    const old = await cluster.getLeader();
    await cluster.stop(old.name);
    await cluster.add('after');
    const { events } = await cluster.getLeader();
    assert.equal(
      events.filter((event) => event.kind === 'role' && event.role === 'leader').length,
      1,
    );
  }));

test('committed commands survive random cuts and restarts', async () => {
  const step = fc.constantFrom('isolate', 'one-way', 'restart', 'heal');
  await fc.assert(
    fc.asyncProperty(fc.array(fc.tuple(step, fc.nat(2)), { maxLength: 6 }), (steps) =>
      withThree(async (cluster) => {
        const names = ['a', 'b', 'c'];
        const added: string[] = [];
        for (const [kind, which] of steps) {
          const name = names[which] ?? 'a';
          const next = names[(which + 1) % 3] ?? 'b';
          if (kind !== 'one-way') cluster.heal();
          if (kind === 'isolate') cluster.isolate(name);
          if (kind === 'one-way') cluster.cut(name, next);
          if (kind === 'restart') {
            const stopped = await cluster.stop(name);
            await cluster.start(name, stopped.disk, stopped.replica.id);
          }
          await cluster.add(`text ${added.length}`);
          added.push(`text ${added.length}`);
        }
        cluster.heal();
        for (const node of cluster.nodes.values()) await waitForTexts(cluster, node, added);
        const [a, b, c] = [...cluster.nodes.values()].map((node) => node.machine.texts.join());
        await cluster.waitFor(() => a === b && b === c);
      }),
    ),
    { seed: 11, numRuns: 8 },
  );
});
