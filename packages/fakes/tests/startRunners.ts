import { request as openRequest } from 'node:http';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { GatewayCluster, OTHER_HOST } from '../src/harness/index.js';
import { FakeRunner } from '../src/runner/index.js';
import type { FakeRunnerOptions, RecordedRequest } from '../src/runner/index.js';
import {
  createDocument,
  ENGINE_CAPACITY,
  ENGINE_PROFILE,
  HOST,
} from '../src/soak/configuration.js';
import { isReady } from '../src/soak/Rotation.js';
import { waitFor } from './startGateway.js';

/** Options of {@link startRunners}. */
export interface RunnerSiteOptions {
  controls: number;
  entries: number;
  /** Names of the services, one for each runner. */
  services: string[];
  runner?: Partial<FakeRunnerOptions>;
}

/** A request for one of the soak's routes. */
export interface SiteRequest {
  id: string;
  kind: 'chat' | 'once' | 'read' | 'book';
  /** Ids of all parts of the prompt; only for `chat` and `once`. */
  parts?: string[];
}

/** A gateway with several entry processes, and runners that start again after they have crashed. */
export interface RunnerSite {
  cluster: GatewayCluster;
  /** Monotonic times at which a prompt has ended a runner. */
  crashTimes: number[];
  /** Gets the runners that are up. */
  getRunners(): FakeRunner[];
  /** Gets the requests that runners have received, of earlier lifetimes as well. */
  getReceived(): RecordedRequest[];
  /** Sends a request to an entry process; gets 0 if there is no complete answer. */
  send(entry: number, request: SiteRequest): Promise<number>;
  stop(): Promise<void>;
}

const HEARTBEAT_MS = 500;
const RESTART_MS = 1000;
const DEADLINE_MS = 8000;

/** Starts a gateway and one runner a service on loopback. */
export async function startRunners(
  name: string,
  { controls, entries, services, runner: runnerOptions }: RunnerSiteOptions,
): Promise<RunnerSite> {
  const cluster = new GatewayCluster({
    folder: join(process.cwd(), '.data', `test-${name}-${process.pid}`),
    controls,
    entries,
    dataCentres: ['a'],
    graceSeconds: 8,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retryExtra: 100,
  });
  const lifetimes: FakeRunner[] = [];
  const running = new Set<FakeRunner>();
  const crashTimes: number[] = [];
  let isStopped = false;
  const startRunner = async (service: string): Promise<void> => {
    const runner: FakeRunner = await FakeRunner.start({
      id: `i-${lifetimes.length}`,
      service,
      dataCentre: 'a',
      profile: ENGINE_PROFILE,
      capacity: ENGINE_CAPACITY,
      host: OTHER_HOST,
      ...runnerOptions,
      onCrash: () => {
        running.delete(runner);
        crashTimes.push(performance.now());
        setTimeout(() => isStopped || startRunner(service).catch(() => undefined), RESTART_MS);
      },
    });
    lifetimes.push(runner);
    running.add(runner);
  };
  const announceAll = async (): Promise<void> => {
    const control = cluster.controls[0]?.address ?? '';
    while (!isStopped) {
      await Promise.allSettled([...running].map((runner) => runner.announce(control)));
      await sleep(HEARTBEAT_MS);
    }
  };
  const stop = async (): Promise<void> => {
    isStopped = true;
    running.forEach((runner) => runner.stop());
    await cluster.stop();
    await cluster.removeFolder();
  };
  try {
    await cluster.start();
    for (const service of services) await startRunner(service);
    const body = JSON.stringify(createDocument(1));
    await waitFor(() => isAccepted(`http://${cluster.controls[0]?.address}/api/config`, body));
    announceAll().catch(() => undefined);
    await waitFor(async () => (await Promise.all(cluster.entries.map(isReady))).every(Boolean));
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    cluster,
    crashTimes,
    getRunners: () => [...running],
    getReceived: () => lifetimes.flatMap(({ recordedRequests }) => recordedRequests),
    send: (entry, request) => send(cluster.entries[entry]?.address ?? '', request),
    stop,
  };
}

async function isAccepted(url: string, body: string): Promise<boolean> {
  try {
    return (await fetch(url, { method: 'PUT', body })).ok;
  } catch {
    return false;
  }
}

function send(address: string, { id, kind, parts = [] }: SiteRequest): Promise<number> {
  const prompt = {
    'x-model': 'm',
    'x-token-usage': '1000,200',
    'x-prefix-hash': parts.map((part) => `${part}:40`).join(','),
  };
  return new Promise((resolve) => {
    const request = openRequest(`http://${address}/${kind}/${id}`, {
      method: 'POST',
      agent: false,
      signal: AbortSignal.timeout(DEADLINE_MS),
      headers: {
        host: HOST,
        authorization: 'Token key-first',
        'x-attempt-id': id,
        'x-deadline-ms': String(DEADLINE_MS),
        ...(kind === 'chat' || kind === 'once' ? prompt : undefined),
      },
    });
    request.on('error', () => resolve(0));
    request.on('response', (response) => {
      const finish = (): void => resolve(response.complete ? (response.statusCode ?? 0) : 0);
      response.on('error', finish);
      response.on('end', finish);
      response.resume();
    });
    request.end(id);
  });
}
