import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { METHODS } from '../../src/control/messages.js';
import { Link } from '../../src/links/index.js';
import { ControlCluster } from './ControlCluster.js';

async function withCluster(run: (cluster: ControlCluster) => Promise<void>): Promise<void> {
  const cluster = await ControlCluster.start();
  try {
    await run(cluster);
  } finally {
    await cluster.stop();
  }
}

test('an accepted version is read at every node', () =>
  withCluster(async (cluster) => {
    assert.ok(await cluster.hasAccepted(7));
    for (const place of cluster.nodes.keys()) {
      await cluster.waitFor(async () => (await cluster.read(place)) === 7);
    }
  }));

test('an older or equal version is acknowledged and changes nothing', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.hasAccepted(7));
    assert.ok(await cluster.hasAccepted(7));
    assert.ok(await cluster.hasAccepted(3));
    await cluster.waitFor(async () => (await cluster.read(1)) === 7);
  }));

test('a document that cannot be read is refused', () =>
  withCluster(async (cluster) => {
    const outcome = await cluster.nodes.get(2)?.submit(Buffer.from('not a version'));
    assert.equal(outcome?.kind, 'invalid');
  }));

test('without a quorum nothing is acknowledged and nothing is read', () =>
  withCluster(async (cluster) => {
    for (const place of [1, 2, 3]) await cluster.stopNode(place);
    assert.equal(await cluster.hasAccepted(9), false);
    assert.equal(await cluster.read(4), undefined);
    assert.equal(await cluster.read(5), undefined);
  }));

test('all killed at once keep what was acknowledged', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.hasAccepted(7));
    for (const place of [1, 2, 3, 4, 5]) await cluster.stopNode(place);
    for (const place of [1, 2, 3, 4, 5]) await cluster.startNode(place);
    await cluster.waitFor(async () => (await cluster.read(4)) === 7);
  }));

test('two wiped disks, then all killed, lose nothing', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.hasAccepted(7));
    for (const place of [1, 4]) await cluster.stopNode(place);
    for (const place of [1, 4]) await cluster.startNode(place, { disk: `wiped-${place}` });
    await cluster.waitFor(async () => (await cluster.read(1)) === 7);
    for (const place of [1, 2, 3, 4, 5]) await cluster.stopNode(place);
    for (const place of [2, 3, 5]) await cluster.startNode(place);
    for (const place of [1, 4]) await cluster.startNode(place, { disk: `wiped-${place}` });
    await cluster.waitFor(async () => (await cluster.read(5)) === 7);
  }));

test('a newcomer takes the place of a lost node, and one that was replaced joins again', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.hasAccepted(7));
    await cluster.stopNode(5);
    await cluster.startNode(6);
    // With the newcomer as a voter, two more may be lost.
    await cluster.waitFor(async () => (await cluster.read(6)) === 7);
    await cluster.waitFor(() => isVoter(cluster, 6));
    await cluster.startNode(5);
    await cluster.stopNode(2);
    await cluster.waitFor(() => isVoter(cluster, 5));
    await cluster.stopNode(3);
    await cluster.waitFor(() => cluster.hasAccepted(8));
  }));

test('a process that has just started gives entries no configuration of its own', () =>
  withCluster(async (cluster) => {
    await cluster.waitFor(() => cluster.hasAccepted(7));
    for (const place of [1, 2, 3, 4, 5]) await cluster.stopNode(place);
    await cluster.startNode(4);
    const socket = connect({ host: '127.0.9.4', port: cluster.linkPort });
    const link = new Link({ socket, handlers: new Map() });
    const seen: string[] = [];
    link.received.subscribe(({ method }) => seen.push(method));
    await link.call(METHODS.subscribe, { kind: 'entry', vm: 'e', version: 0 }, 1000);
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    link.close();
    assert.ok(seen.includes(METHODS.cluster));
    assert.ok(!seen.includes(METHODS.configuration));
  }));

function isVoter(cluster: ControlCluster, place: number): boolean {
  return cluster.nodes.get(place)?.isVoter ?? false;
}
