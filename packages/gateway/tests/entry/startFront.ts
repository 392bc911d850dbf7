import { createServer, request as openRequest } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Registry } from 'prom-client';
import { RoutingTable } from '../../src/configuration/index.js';
import type { Route } from '../../src/configuration/index.js';
import { EngineKinds } from '../../src/entry/EngineKinds.js';
import { EntryMetrics } from '../../src/entry/EntryMetrics.js';
import { Exchange } from '../../src/entry/Exchange.js';
import { LeastLoadedPlacer } from '../../src/entry/LeastLoadedPlacer.js';
import { RequestTask } from '../../src/entry/RequestTask.js';
import { SharedRetryBudget } from '../../src/entry/SharedRetryBudget.js';
import { StartGate } from '../../src/entry/StartGate.js';
import { UpstreamHealth } from '../../src/entry/UpstreamHealth.js';
import { View } from '../../src/entry/View.js';
import type { DispatchTerms, Wire } from '../../src/entry/Wire.js';
import { UpstreamAgent } from '../../src/upstreams/index.js';
import { silentLogger, versionCodec } from '../control/ControlCluster.js';
import type { ScriptedUpstream } from './ScriptedUpstream.js';

/** Headers of the tests: `attempt`, `key`, `deadline`, `last`, and `signed` or `unrun` back. */
export const wire: Wire = {
  readinessPath: '/ready',
  readRequest: (headers) => ({
    attemptId: String(headers.attempt),
    deadlineMs: Number(headers.deadline ?? 2000),
    key: headers.key as string | undefined,
    promptTokens: undefined,
    answerTokens: undefined,
    lastEventId: headers.last as string | undefined,
  }),
  writeRequest: (raw: string[], terms: DispatchTerms) => {
    const pairs: [string, string][] = [];
    for (let index = 0; index < raw.length; index += 2) {
      const name = raw[index] ?? '';
      if (!['key', 'last', 'deadline'].includes(name)) pairs.push([name, raw[index + 1] ?? '']);
    }
    pairs.push(['customer', terms.customer ?? ''], ['expected', terms.upstreamId]);
    pairs.push(['deadline', String(terms.remainingMs)]);
    if (terms.lastEventId !== undefined) pairs.push(['last', terms.lastEventId]);
    return pairs;
  },
  writeOrder: (upstreamId, order) => ({
    method: 'POST',
    path: '/order',
    headers: [['expected', upstreamId]],
    body: Buffer.from(JSON.stringify(order)),
  }),
  readAnswer: (status, headers) => ({
    attemptId: headers.attempt as string | undefined,
    isNotRun: status === 421 || headers.unrun !== undefined,
    faultyUpstream: headers.faulty as string | undefined,
    isSigned: headers.signed !== undefined,
  }),
};

/** What a client sees. */
export interface ClientAnswer {
  status: number;
  headers: NodeJS.Dict<string | string[]>;
  body: string;
  /** False when the connection ended before the answer was complete. */
  isWhole: boolean;
}

/** An entry process's request path, without links to control. */
export interface Front {
  send(
    headers?: Record<string, string>,
    options?: { leaveAfterMs?: number },
  ): Promise<ClientAnswer>;
  stop(): void;
}

/** Starts a front with one route to the given upstreams; they are tried in their order. */
export async function startFront(
  upstreams: ScriptedUpstream[],
  fields: Partial<Route> = {},
  { ratio = 1, extra = 100 }: { ratio?: number; extra?: number } = {},
): Promise<Front> {
  const view = new View({ codec: versionCodec, logger: silentLogger });
  upstreams.forEach((upstream, index) =>
    view.table.merge({
      id: `u${index}`,
      bornAt: 1,
      sequence: 1,
      service: 's',
      address: upstream.address,
      // The first one is near and preferred.
      dataCentre: index === 0 ? 'near' : `far-${index}`,
      capacity: 4,
      state: 'ready',
    }),
  );
  const health = new UpstreamHealth();
  const agent = new UpstreamAgent();
  const budget = new SharedRetryBudget({
    ratio,
    windowMs: 60_000,
    extra,
    getEntryCount: () => 1,
  });
  const task = new RequestTask({
    wire,
    placer: new LeastLoadedPlacer({
      view,
      health,
      kinds: new EngineKinds(view),
      gate: new StartGate({ openForMs: 0 }),
      dataCentre: 'near',
      random: () => 0,
    }),
    health,
    agent,
    metrics: new EntryMetrics(new Registry(), view, () => 0),
    getBudget: () => budget,
    random: () => 0,
    getTimeToLive: () => Infinity,
    logger: silentLogger,
  });
  const routing = createRouting(fields);
  const server = createServer((request, response) => {
    task.run(new Exchange(request, response, () => false), routing);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    send: (headers = {}, { leaveAfterMs } = {}) => send(port, headers, leaveAfterMs),
    stop: () => {
      server.close();
      server.closeAllConnections();
      agent.destroy();
      upstreams.forEach((upstream) => upstream.stop());
    },
  };
}

function createRouting(fields: Partial<Route>): RoutingTable {
  const route: Route = {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/p/',
    kind: 'idempotent',
    timeoutMs: 1000,
    objectiveMs: 100,
    pauseMs: 100,
    priority: 0,
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    hasPrompt: false,
    backends: [{ service: 's', weight: 1 }],
    ...fields,
  };
  return new RoutingTable({
    version: 1,
    routes: [route],
    services: [{ name: 's', healthPath: '/', maxConnections: 9 }],
    limits: { maxHeaderBytes: 9999, maxBodyBytes: 99, headerTimeoutMs: 999, idleTimeoutMs: 999 },
    customers: [{ name: 't', keys: ['good'] }],
  });
}

function send(
  port: number,
  headers: Record<string, string>,
  leaveAfterMs: number | undefined,
): Promise<ClientAnswer> {
  return new Promise((resolve, reject) => {
    const request = openRequest({
      host: '127.0.0.1',
      port,
      method: 'POST',
      path: '/p/x?q=1',
      agent: false,
      headers: { host: 'a.example', attempt: 'att-1', key: 'good', ...headers },
    });
    request.on('error', reject);
    request.on('response', (response) => {
      let body = '';
      const finish = (): void =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isWhole: response.complete,
        });
      response.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      response.on('error', finish);
      response.on('end', finish);
    });
    request.end('body');
    if (leaveAfterMs !== undefined) setTimeout(() => request.destroy(), leaveAfterMs);
  });
}
