import assert from 'node:assert/strict';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { UpstreamTable } from '@azurecart/discovery';
import type { EngineDecision, EngineJob } from '@azurecart/scheduling';
import { METHODS } from '../../src/control/messages.js';
import type { QueuedJobDecision } from '../../src/control/messages.js';
import { PlacementService } from '../../src/control/PlacementService.js';
import { Findings } from '../../src/findings/index.js';
import { Link } from '../../src/links/index.js';
import type { CallHandler } from '../../src/links/index.js';
import { ENGINE } from '../samples.js';
import { silentLogger, versionCodec } from './ControlCluster.js';

function createJob(id: string): EngineJob {
  return {
    id,
    service: 's',
    dataCentre: 'd',
    promptTokens: 1000,
    priority: 0,
    objectiveMs: 250,
    pauseMs: 250,
    remainingMs: 5000,
    waitedMs: 0,
    excluded: [],
    parts: [],
  };
}

/** Starts a service with one engine that runs one job, and a server for links to it. */
async function startService() {
  const table = new UpstreamTable({ now: () => performance.now() });
  const record = { id: 'e', bornAt: 1, sequence: 1, service: 's', address: 'a', dataCentre: 'd' };
  table.merge({ ...record, capacity: 1, state: 'ready' });
  const configuration = versionCodec.decode(Buffer.from('1'));
  configuration.services.push({
    name: 's',
    healthPath: '/',
    maxConnections: 9,
    engine: { ...ENGINE, capacity: 1 },
  });
  const findings = new Findings({ now: () => performance.now(), logger: silentLogger });
  const service = new PlacementService({
    table,
    getConfiguration: () => configuration,
    findings,
    logger: silentLogger,
  });
  const handlers = new Map<string, CallHandler>();
  service.addHandlers(handlers);
  const server = createServer((socket) => {
    service.attach(new Link({ socket, handlers }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const connectLink = (): Link =>
    new Link({ socket: connect({ host: '127.0.0.1', port }), handlers: new Map() });
  const place = async (link: Link, id: string): Promise<string> =>
    ((await link.call(METHODS.place, createJob(id), 1000)) as EngineDecision).kind;
  const stop = (): void => {
    service.stop();
    server.close();
  };
  return { service, table, findings, connectLink, place, stop };
}

/** Gets the next decision on a queued job that arrives on a link. */
function awaitDecision(link: Link): Promise<QueuedJobDecision> {
  return new Promise((resolve) => {
    link.subscribe(({ method, body }) => {
      if (method === METHODS.placed) resolve(body as QueuedJobDecision);
    });
  });
}

test('releasing a running job places the next queued job', async () => {
  const { connectLink, place, stop } = await startService();
  const link = connectLink();
  assert.equal(await place(link, '1'), 'placed');
  assert.equal(await place(link, '2'), 'queued');
  const decision = awaitDecision(link);
  link.notify(METHODS.release, { id: '1' });
  const {
    id,
    decision: { kind },
  } = await decision;
  assert.deepEqual([id, kind], ['2', 'placed']);
  link.close();
  stop();
});

test('closing the link of an entry process releases its jobs', async () => {
  const { connectLink, place, stop } = await startService();
  const first = connectLink();
  assert.equal(await place(first, '1'), 'placed');
  first.close();
  const second = connectLink();
  while ((await place(second, '2')) !== 'placed') second.notify(METHODS.release, { id: '2' });
  second.close();
  stop();
});

test('an adopted job occupies its engine until it is released', async () => {
  const { connectLink, place, stop } = await startService();
  const link = connectLink();
  const notification = { job: createJob('1'), upstream: 'e', helpers: [], isWriting: true };
  link.notify(METHODS.adopt, notification);
  assert.equal(await place(link, '2'), 'queued');
  link.notify(METHODS.release, { id: '2' });
  link.notify(METHODS.release, { id: '1' });
  assert.equal(await place(link, '3'), 'placed');
  link.close();
  stop();
});

// Guards against a scheduler that fails on the jobs of entry processes of an earlier version.
test('a job without parts is placed although parts are quarantined', async () => {
  const { connectLink, findings, stop } = await startService();
  ['e', 'f', 'g'].forEach((engine) => findings.recordCrash(engine, ['dead'], 0));
  const link = connectLink();
  const { parts, ...job } = createJob('1');
  assert.deepEqual(parts, []);
  const decision = (await link.call(METHODS.place, job, 1000)) as EngineDecision;
  assert.equal(decision.kind, 'placed');
  link.close();
  stop();
});

test('a job that waits for an evacuated data centre is placed in another one', async () => {
  const { service, table, connectLink, place, stop } = await startService();
  const link = connectLink();
  assert.equal(await place(link, '1'), 'placed');
  assert.equal(await place(link, '2'), 'queued');
  const decision = awaitDecision(link);
  const record = { id: 'f', bornAt: 1, sequence: 1, service: 's', address: 'b', dataCentre: 'x' };
  table.merge({ ...record, capacity: 1, state: 'ready' });
  table.setEvacuated(['d']);
  service.updateEngines();
  assert.deepEqual(await decision, {
    id: '2',
    decision: { ...(await decision).decision, kind: 'placed', engine: 'f' },
  });
  link.close();
  stop();
});

test('with all data centres evacuated, waiting jobs and new ones are refused at once', async () => {
  const { service, table, connectLink, place, stop } = await startService();
  const link = connectLink();
  assert.equal(await place(link, '1'), 'placed');
  assert.equal(await place(link, '2'), 'queued');
  const decision = awaitDecision(link);
  table.setEvacuated(['d']);
  service.updateEngines();
  assert.equal((await decision).decision.kind, 'refused');
  assert.equal(await place(link, '3'), 'refused');
  link.close();
  stop();
});

// Guards against jobs beside those that still run when a data centre is taken back early.
test('jobs that run in an evacuated data centre count when it is taken back', async () => {
  const { service, table, connectLink, place, stop } = await startService();
  const link = connectLink();
  assert.equal(await place(link, '1'), 'placed');
  table.setEvacuated(['d']);
  service.updateEngines();
  table.setEvacuated([]);
  service.updateEngines();
  assert.equal(await place(link, '2'), 'queued');
  const decision = awaitDecision(link);
  link.notify(METHODS.release, { id: '1' });
  assert.equal((await decision).decision.kind, 'placed');
  link.close();
  stop();
});

// Guards against a crowd at an engine that is back after a crash and has not announced itself yet.
test('an engine that has broken off counts as cold until it announces itself', async () => {
  const { table, connectLink, place, stop } = await startService();
  const link = connectLink();
  assert.equal(await place(link, '1'), 'placed');
  assert.equal(table.getColdMs('e'), 0);
  link.notify(METHODS.release, { id: '1', ending: 'broken' });
  await place(link, '2');
  assert.ok(table.getColdMs('e') > 0);
  const { lastSeenAt, ...record } = table.getUpstream('e') ?? assert.fail();
  table.merge({ ...record, sequence: 2, coldMs: 0 });
  assert.equal(table.getColdMs('e'), 0);
  link.close();
  stop();
});
