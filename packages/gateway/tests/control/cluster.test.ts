import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Announcement } from '@azurecart/discovery';
import { METHODS } from '../../src/control/messages.js';
import type { UpstreamUpdate } from '../../src/control/messages.js';
import { ClusterView } from '../../src/entry/ClusterView.js';
import { Link } from '../../src/links/index.js';
import { ControlCluster, silentLogger, versionCodec } from './ControlCluster.js';

async function withCluster(run: (cluster: ControlCluster) => Promise<void>): Promise<void> {
  const cluster = await ControlCluster.start();
  try {
    await run(cluster);
  } finally {
    await cluster.stop();
  }
}

test('every node reads an accepted version', () =>
  withCluster(async (cluster) => {
    assert.ok(await cluster.trySubmit(7));
    for (const index of cluster.nodes.keys()) {
      await cluster.waitFor(async () => (await cluster.read(index)) === 7);
    }
  }));

test('submitting an older or equal version is accepted and changes nothing', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.trySubmit(7));
    assert.ok(await cluster.trySubmit(7));
    assert.ok(await cluster.trySubmit(3));
    await cluster.waitFor(async () => (await cluster.read(1)) === 7);
  }));

test('a document that cannot be decoded is rejected', () =>
  withCluster(async (cluster) => {
    const outcome = await cluster.nodes.get(2)?.submit(Buffer.from('not a version'));
    assert.equal(outcome?.kind, 'invalid');
  }));

test('without a quorum, submissions are not accepted and reads return undefined', () =>
  withCluster(async (cluster) => {
    for (const index of [1, 2, 3]) await cluster.stopNode(index);
    assert.equal(await cluster.trySubmit(9), false);
    assert.equal(await cluster.read(4), undefined);
    assert.equal(await cluster.read(5), undefined);
  }));

test('an accepted version survives a restart of all nodes', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.trySubmit(7));
    for (const index of [1, 2, 3, 4, 5]) await cluster.stopNode(index);
    for (const index of [1, 2, 3, 4, 5]) await cluster.startNode(index);
    await cluster.waitFor(async () => (await cluster.read(4)) === 7);
  }));

test('an accepted version survives two wiped disks followed by a restart of all nodes', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.trySubmit(7));
    for (const index of [1, 4]) await cluster.stopNode(index);
    for (const index of [1, 4]) await cluster.startNode(index, { disk: `wiped-${index}` });
    await cluster.waitFor(async () => (await cluster.read(1)) === 7);
    for (const index of [1, 2, 3, 4, 5]) await cluster.stopNode(index);
    for (const index of [2, 3, 5]) await cluster.startNode(index);
    for (const index of [1, 4]) await cluster.startNode(index, { disk: `wiped-${index}` });
    await cluster.waitFor(async () => (await cluster.read(5)) === 7);
  }));

test('a new node replaces a lost voter, and a replaced node can join again', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.trySubmit(7));
    await cluster.stopNode(5);
    await cluster.startNode(6);
    // With the new node as a voter, the cluster tolerates the loss of two more nodes.
    await cluster.waitFor(async () => (await cluster.read(6)) === 7);
    await cluster.waitFor(() => isVoter(cluster, 6));
    await cluster.startNode(5);
    await cluster.stopNode(2);
    await cluster.waitFor(() => isVoter(cluster, 5));
    await cluster.stopNode(3);
    await cluster.waitFor(() => cluster.trySubmit(8));
  }));

test('a node that restarts without a quorum does not push its stored configuration', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.trySubmit(7));
    for (const index of [1, 2, 3, 4, 5]) await cluster.stopNode(index);
    await cluster.startNode(4);
    const socket = connect({ host: '127.0.9.4', port: cluster.linkPort });
    const link = new Link({ socket, handlers: new Map() });
    const seen: string[] = [];
    link.subscribe(({ method }) => seen.push(method));
    await link.call(METHODS.subscribe, { kind: 'entry', vm: 'e', version: 0 }, 1000);
    // Several intervals of 60 ms at which the configuration is pushed.
    await sleep(300);
    link.close();
    assert.ok(seen.includes(METHODS.cluster));
    assert.ok(!seen.includes(METHODS.configuration));
  }));

// Guards against requests from an entry process that started after a departure was acknowledged.
test('an entry process that starts after a departure does not use the upstream', () =>
  withCluster(async (cluster) => {
    await cluster.nodes.get(1)?.announce(UPSTREAM);
    await cluster.waitFor(async () => (await getReadyUpstreams(cluster, 2)).length === 1);
    // The nodes exchange the sequence numbers of later announcements at an interval.
    const heartbeat = { ...UPSTREAM, sequence: 2 };
    await cluster.nodes.get(1)?.announce(heartbeat);
    await cluster.waitFor(async () => {
      const [upstream] = await getReadyUpstreams(cluster, 2);
      return upstream?.sequence === heartbeat.sequence;
    });
    await cluster.nodes.get(1)?.leave(UPSTREAM.id, undefined);
    assert.deepEqual(await getReadyUpstreams(cluster, 2), []);
  }));

// Guards against a departure that is acknowledged by a restarted node, and that no other one learns of.
test('a node that does not know an upstream does not acknowledge its departure', () =>
  withCluster(async (cluster) => {
    const node = cluster.nodes.get(1);
    assert.equal(await node?.leave(UPSTREAM.id, undefined), false);
    await node?.announce(UPSTREAM);
    assert.equal(await node?.leave(UPSTREAM.id, UPSTREAM.bornAt + 1), false);
    assert.equal(await node?.leave(UPSTREAM.id, UPSTREAM.bornAt), true);
    assert.equal(await node?.leave(UPSTREAM.id, undefined), true);
  }));

// Guards against entry processes that drop all upstreams 60 s after their last change.
test('an entry process is kept informed of announcements that change nothing', () =>
  withCluster(async (cluster) => {
    const node = cluster.nodes.get(1);
    await node?.announce(UPSTREAM);
    const { view, link } = await subscribe(cluster, 2);
    let sequence = 1;
    await cluster.waitFor(async () => {
      sequence += 1;
      await node?.announce({ ...UPSTREAM, sequence });
      return (view.upstreamTable.getUpstream(UPSTREAM.id)?.sequence ?? 0) > 1;
    });
    link.close();
  }));

// Guards against a departure that only the entry process learns of which got the response.
test('a departure that an entry process reports reaches the others', () =>
  withCluster(async (cluster) => {
    await cluster.nodes.get(1)?.announce(UPSTREAM);
    await cluster.waitFor(async () => (await getReadyUpstreams(cluster, 2)).length === 1);
    const { view } = await subscribe(cluster, 2);
    const reporter = await subscribe(cluster, 3);
    const records = [{ ...UPSTREAM, state: 'draining', ageMs: 0 }];
    await reporter.link.call(METHODS.upstreams, { records }, 1000);
    await cluster.waitFor(() => view.upstreamTable.getUpstream(UPSTREAM.id)?.state === 'draining');
  }));

// Guards against a process that ends by itself because of a message that it does not understand.
test('a message that is not understood closes the link and nothing else', () =>
  withCluster(async (cluster) => {
    for (const method of [METHODS.findings, METHODS.upstreams, METHODS.adopt, METHODS.release]) {
      const { link } = await subscribe(cluster, 2);
      link.notify(method, { parts: 7, limits: null, records: 'none', job: null });
      link.notify(method, null);
      await Promise.race([
        link.closed,
        new Promise((resolve) => {
          setTimeout(resolve, 200);
        }),
      ]);
      link.close();
    }
    assert.equal((await getReadyUpstreams(cluster, 2)).length, 0);
    assert.ok(await cluster.trySubmit(9));
  }));

/** Counts the configurations that a subscriber with version 1 in a data centre is sent. */
async function countConfigurations(
  cluster: ControlCluster,
  dataCentre: string,
  waitMs: number,
  appliedVersion?: number,
): Promise<number> {
  const socket = connect({ host: '127.0.9.2', port: cluster.linkPort });
  const link = new Link({ socket, handlers: new Map() });
  let count = 0;
  link.subscribe(({ method }) => {
    if (method === METHODS.configuration) count += 1;
  });
  await link.call(METHODS.subscribe, { kind: 'entry', vm: 'e', version: 1, dataCentre }, 1000);
  if (appliedVersion !== undefined) link.notify(METHODS.applied, { version: appliedVersion });
  await sleep(waitMs);
  link.close();
  return count;
}

// Guards against every control process sending each configuration to every entry process.
test('a configuration comes from the data centre of its subscriber, and else from another one', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.trySubmit(7));
    await cluster.waitFor(async () => (await cluster.read(2)) === 7);
    // The nodes are in data centre `d`; the others wait for 250 ms.
    assert.equal(await countConfigurations(cluster, 'd', 150), 1);
    assert.equal(await countConfigurations(cluster, 'x', 150), 0);
    assert.equal(await countConfigurations(cluster, 'x', 800), 1);
    assert.equal(await countConfigurations(cluster, 'x', 800, 7), 0);
  }));

// Guards against messages whose number grows with the square of that of the entry processes.
test('subscribers that come together change the number of entry processes once', () =>
  withCluster(async (cluster) => {
    const { link } = await subscribe(cluster, 2);
    let updates = 0;
    link.subscribe(({ method }) => {
      if (method === METHODS.cluster) updates += 1;
    });
    const others = await Promise.all(Array.from({ length: 20 }, () => subscribe(cluster, 2)));
    await sleep(300);
    others.forEach((other) => other.link.close());
    assert.ok(updates >= 1 && updates <= 6, `${updates} updates`);
    link.close();
  }));

// Guards against requests that wait for the next announcement of each upstream after a power failure.
test('upstreams are known again at once after a restart of all nodes', () =>
  withCluster(async (cluster) => {
    await cluster.nodes.get(1)?.announce(UPSTREAM);
    await cluster.nodes.get(1)?.announce(LEAVING_UPSTREAM);
    await cluster.waitFor(async () => (await getReadyUpstreams(cluster, 2)).length === 2);
    // Longer than the interval of 500 ms at which the upstreams are saved.
    await sleep(800);
    await cluster.nodes.get(2)?.leave(LEAVING_UPSTREAM.id, undefined);
    for (const index of [1, 2, 3, 4, 5]) await cluster.stopNode(index);
    for (const index of [1, 2, 3, 4, 5]) await cluster.startNode(index);
    const upstreams = await getReadyUpstreams(cluster, 2);
    assert.deepEqual(
      upstreams.map(({ id }) => id),
      [UPSTREAM.id],
    );
    const { view, link } = await subscribe(cluster, 3);
    await cluster.nodes.get(1)?.announce({ ...UPSTREAM, sequence: 2 });
    // Stored upstreams are removed after 3 s.
    await sleep(3500);
    view.upstreamTable.removeExpired();
    assert.deepEqual(
      view.upstreamTable.getReady(UPSTREAM.service).map(({ id }) => id),
      [UPSTREAM.id],
    );
    link.close();
  }));

// Guards against requests to an upstream that left while the node that remembers it was down.
test('an entry process that runs is not told of upstreams that only the disk of a node knows', () =>
  withCluster(async (cluster) => {
    await cluster.nodes.get(1)?.announce(UPSTREAM);
    await cluster.waitFor(async () => (await getReadyUpstreams(cluster, 2)).length === 1);
    await sleep(800);
    for (const index of [1, 2, 3, 4, 5]) await cluster.stopNode(index);
    await cluster.startNode(2);
    const { view, link } = await subscribe(cluster, 2, 7);
    assert.deepEqual(view.upstreamTable.getRecords(), []);
    link.close();
  }));

const UPSTREAM: Announcement = {
  id: 'u',
  bornAt: 1000,
  sequence: 1,
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'd',
  capacity: 4,
  state: 'ready',
};

const LEAVING_UPSTREAM: Announcement = { ...UPSTREAM, id: 'l', address: '10.0.0.2:80' };

/** Subscribes an entry process to a node; by default a new one without a configuration. */
async function subscribe(cluster: ControlCluster, index: number, version = 0) {
  const view = new ClusterView({ codec: versionCodec, logger: silentLogger });
  const socket = connect({ host: `127.0.9.${index}`, port: cluster.linkPort });
  const link = new Link({ socket, handlers: new Map() });
  link.subscribe(({ method, body }) => {
    if (method === METHODS.upstreams) view.mergeUpstreams(body as UpstreamUpdate);
  });
  await link.call(METHODS.subscribe, { kind: 'entry', vm: 'e', version }, 1000);
  return { view, link };
}

/** Gets the ready upstreams that a new entry process learns of from a node. */
async function getReadyUpstreams(cluster: ControlCluster, index: number) {
  const { view, link } = await subscribe(cluster, index);
  link.close();
  return view.upstreamTable.getReady(UPSTREAM.service);
}

function isVoter(cluster: ControlCluster, index: number): boolean {
  return cluster.nodes.get(index)?.isVoter ?? false;
}
