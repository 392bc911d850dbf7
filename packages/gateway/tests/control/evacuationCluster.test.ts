import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EvacuationUpdate } from '../../src/control/Evacuations.js';
import { METHODS } from '../../src/control/messages.js';
import type { ConfigurationUpdate } from '../../src/control/messages.js';
import { ClusterView } from '../../src/entry/ClusterView.js';
import { Link } from '../../src/links/index.js';
import { ControlCluster, silentLogger, versionCodec } from './ControlCluster.js';

const ALL = [1, 2, 3, 4, 5];

async function withCluster(run: (cluster: ControlCluster) => Promise<void>): Promise<void> {
  const cluster = await ControlCluster.start();
  try {
    await run(cluster);
  } finally {
    await cluster.stop();
  }
}

/** Sends an order to one node after another until it is accepted. */
async function order(cluster: ControlCluster, dataCentre: string, isEvacuated: boolean) {
  await cluster.waitFor(async () => {
    for (const node of cluster.nodes.values())
      if ((await node.setEvacuated(dataCentre, isEvacuated)).kind === 'accepted') return true;
    return false;
  });
}

/** Subscribes a view to a node, as an entry process does, and records what it is sent in order. */
async function subscribe(
  cluster: ControlCluster,
  index: number,
  view = new ClusterView({ codec: versionCodec, logger: silentLogger }),
) {
  const socket = connect({ host: `127.0.9.${index}`, port: cluster.linkPort });
  const link = new Link({ socket, handlers: new Map() });
  const methods: string[] = [];
  link.subscribe(({ method, body }) => {
    methods.push(method);
    if (method === METHODS.evacuations) view.updateEvacuations(body as EvacuationUpdate);
    if (method === METHODS.configuration) view.updateConfiguration(body as ConfigurationUpdate);
  });
  const subscription = { kind: 'entry', vm: 'e', version: view.version };
  await link.call(METHODS.subscribe, subscription, 1000);
  return { link, methods, view };
}

/**
 * Gets the evacuated data centres that a new entry process learns of before its configuration.
 * @param revision - Waited for, as a node may lag behind the quorum that has stored an order.
 */
async function getEvacuated(
  cluster: ControlCluster,
  index: number,
  revision = 0,
): Promise<string[]> {
  const { link, methods, view } = await subscribe(cluster, index);
  await cluster.waitFor(() => view.routing !== undefined);
  await cluster.waitFor(() => (view.evacuation?.revision ?? 0) >= revision);
  link.close();
  assert.ok(methods.indexOf(METHODS.evacuations) < methods.indexOf(METHODS.configuration));
  return view.evacuation?.dataCentres ?? assert.fail('served without knowing them');
}

async function restartAll(cluster: ControlCluster): Promise<void> {
  for (const index of ALL) await cluster.stopNode(index);
  for (const index of ALL) await cluster.startNode(index);
}

test('every node accepts an order, and its repetition', () =>
  withCluster(async (cluster) => {
    for (const node of cluster.nodes.values())
      assert.equal((await node.setEvacuated('d', true)).kind, 'accepted');
    assert.deepEqual(await cluster.nodes.get(3)?.setEvacuated('d', false), {
      kind: 'accepted',
      revision: 2,
    });
  }));

test('entry processes are told of each order, and new ones before their configuration', () =>
  withCluster(async (cluster) => {
    const { view, link } = await subscribe(cluster, 2);
    await order(cluster, 'd', true);
    await cluster.waitFor(() => view.evacuation?.dataCentres[0] === 'd');
    assert.deepEqual(await getEvacuated(cluster, 2), ['d']);
    await order(cluster, 'd', false);
    await cluster.waitFor(() => view.evacuation?.dataCentres.length === 0);
    link.close();
  }));

// Guards against requests to a data centre that was evacuated while the entry process was cut off.
test('an entry process that was cut off learns of an evacuation with its subscription', () =>
  withCluster(async (cluster) => {
    await order(cluster, 'd', true);
    const { view, link } = await subscribe(cluster, 2);
    await cluster.waitFor(() => view.evacuation?.revision === 1);
    link.close();
    await order(cluster, 'd', false);
    await order(cluster, 'f', true);
    await subscribe(cluster, 4, view);
    await cluster.waitFor(() => view.evacuation?.revision === 3);
    assert.deepEqual(view.evacuation?.dataCentres, ['f']);
    view.updateEvacuations({ revision: 1, dataCentres: ['d'] });
    assert.deepEqual(view.evacuation?.dataCentres, ['f']);
  }));

// Guards against an old state of a node that was cut off from the others.
test('a node without a quorum accepts no order and names no evacuated data centres', () =>
  withCluster(async (cluster) => {
    await order(cluster, 'd', true);
    for (const index of ALL) await cluster.stopNode(index);
    const node = await cluster.startNode(4);
    assert.equal((await node.setEvacuated('d', false)).kind, 'unknown');
    const { methods, link } = await subscribe(cluster, 4);
    await sleep(300);
    link.close();
    assert.ok(!methods.includes(METHODS.evacuations));
  }));

test('an acknowledged order survives a restart of all nodes', () =>
  withCluster(async (cluster) => {
    await order(cluster, 'd', true);
    await restartAll(cluster);
    assert.deepEqual(await getEvacuated(cluster, 5), ['d']);
  }));

test('an acknowledged order survives two wiped disks followed by a restart of all nodes', () =>
  withCluster(async (cluster) => {
    await order(cluster, 'd', true);
    for (const index of ALL) await cluster.stopNode(index);
    for (const index of [2, 3, 5]) await cluster.startNode(index);
    for (const index of [1, 4]) await cluster.startNode(index, { disk: `wiped-${index}` });
    assert.deepEqual(await getEvacuated(cluster, 1, 1), ['d']);
    assert.deepEqual(await getEvacuated(cluster, 3), ['d']);
  }));

// Guards against the loss of an order with the log entries that a snapshot replaces.
test('an order that is only in a snapshot survives, and reaches a wiped node', () =>
  withCluster(async (cluster) => {
    await order(cluster, 'd', true);
    // More changes than there are entries between two snapshots.
    for (let count = 0; count < 120; count += 1) {
      await order(cluster, 'f', true);
      await order(cluster, 'f', false);
    }
    await cluster.stopNode(2);
    await cluster.startNode(2, { disk: 'wiped-2' });
    assert.deepEqual(await getEvacuated(cluster, 2, 241), ['d']);
    for (const index of ALL) await cluster.stopNode(index);
    for (const index of [1, 3, 4, 5]) await cluster.startNode(index);
    assert.deepEqual(await getEvacuated(cluster, 3), ['d']);
  }));

test('an order whose answer is lost with the leader is in force once, and acknowledged again', () =>
  withCluster(async (cluster) => {
    const leader = await findLeader(cluster);
    const { view, link } = await subscribe(cluster, leader === 1 ? 2 : 1);
    const answer = cluster.nodes.get(leader)?.setEvacuated('d', true);
    await cluster.waitFor(() => view.evacuation?.revision === 1);
    await cluster.stopNode(leader);
    await answer;
    await order(cluster, 'd', true);
    await order(cluster, 'd', true);
    assert.deepEqual(view.evacuation, { revision: 1, dataCentres: ['d'] });
    await order(cluster, 'd', false);
    await cluster.waitFor(() => view.evacuation?.revision === 2);
    link.close();
  }));

test('orders and configurations do not hinder each other', () =>
  withCluster(async (cluster) => {
    await Promise.all([order(cluster, 'd', true), cluster.trySubmit(7), order(cluster, 'f', true)]);
    await cluster.waitFor(() => cluster.trySubmit(7));
    assert.deepEqual((await getEvacuated(cluster, 3, 2)).sort(), ['d', 'f']);
    await cluster.waitFor(async () => (await cluster.read(3)) === 7);
  }));

/** Gets the index of the leader that the nodes name. */
async function findLeader(cluster: ControlCluster): Promise<number> {
  const socket = connect({ host: '127.0.9.1', port: cluster.linkPort });
  const link = new Link({ socket, handlers: new Map() });
  let leader: string | null = null;
  link.subscribe(({ method, body }) => {
    if (method === METHODS.cluster) ({ leader } = body as { leader: string | null });
  });
  await link.call(METHODS.subscribe, { kind: 'entry', vm: 'l', version: 0 }, 1000);
  await cluster.waitFor(() => leader !== null);
  link.close();
  return Number(String(leader).split(':')[0]?.split('.').at(-1));
}
