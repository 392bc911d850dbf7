/**
 * Starts the gateway as `deploy/system.toml` does, on loopback addresses, and plays its neighbours:
 * runners, an operator and clients. Used by the scripts of the cases.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { Agent, createServer, request as openRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

export { sleep };

export const ZONES = ['khomas-a', 'khomas-b', 'khomas-c'];
/** Bounds of the Tidy Dune installation. */
export const BOUNDS = {
  ContactMs: 3000,
  AckMs: 4000,
  DrainMs: 2000,
  GraceS: 8,
  ConfigApplyMs: 2000,
  RetryBudgetRatio: 0.2,
  RetryWindowS: 10,
  RetryMinExtra: 104,
};
export const HOST = 'review.example';
export const KEY = 'reviewkey1';
export const TENANT = 'tenant1';

const HEARTBEAT_MS = 1200;
const CALL_TIMEOUT_MS = 1000;
const LIMITS = { MemoryMb: 350, MaxFds: 4100 };

/** Writes what happens to a file, with the seconds since the start of the script. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(this.file, '');
  }

  get seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }

  write(text) {
    appendFileSync(this.file, `${this.seconds.toFixed(3).padStart(8)}  ${text}\n`);
  }
}

/** Renders a settings template with the fields that the platform's settings have. */
function render(template, fields) {
  const get = (path) => path.split('.').reduce((value, name) => value?.[name], fields);
  const zones = template.replace(/\{\{#(\w+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, body) =>
    Object.keys(get(name))
      .map((key) => body.replaceAll('{{@}}', key).replaceAll('{{,}}', ''))
      .join(','),
  );
  return zones.replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => JSON.stringify(get(path)));
}

/** Gets the command of a role in the deploy file, split at spaces. */
function getCommand(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return section.match(/^run = "(.*)"$/m)[1].split(' ');
}

async function getFreePort(host) {
  const server = createTcpServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** One process of the gateway. */
class Machine {
  constructor(options) {
    Object.assign(this, options);
  }

  start(isFirst) {
    const { role, folder, name } = this;
    const template = readFileSync(`deploy/${role}.json.template`, 'utf8');
    const file = join(folder, `${name}.json`);
    writeFileSync(file, render(template, { ...this.fields, Bootstrap: isFirst }));
    const [program, ...words] = getCommand(role);
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, AZURECART_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = (bytes) => appendFileSync(join(folder, `${name}.log`), bytes);
    child.stdout.on('data', log);
    child.stderr.on('data', log);
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve(`${code ?? signal}`));
    });
    this.exited.then((how) => {
      this.ending = how;
    });
    this.ending = undefined;
    this.child = child;
  }

  signal(name) {
    this.child.kill(name);
  }

  get log() {
    return readFileSync(join(this.folder, `${this.name}.log`), 'utf8');
  }
}

/** Control and entry processes with settings like those of a small installation. */
export class System {
  constructor({ controls = 5, entries = 3, zones = ZONES } = {}) {
    this.size = { controls, entries };
    this.zones = zones;
    this.network = 16 + Math.floor(Math.random() * 200);
    this.folder = mkdtempSync(join(tmpdir(), 'azurecart-review-'));
  }

  async start() {
    const { network, folder, zones, size } = this;
    const host = (role, index) => `127.${network}.${role}.${index + 1}`;
    const [link, operator, front, ready] = await Promise.all(
      [1, 1, 2, 2].map((role) => getFreePort(host(role, 0))),
    );
    const seeds = [0, 1, 2].map((index) => `${host(1, index)}:${operator}`);
    const create = (role, index) => {
      const ip = host(role === 'control' ? 1 : 2, index);
      const name = `${role}-${index}`;
      const fields = {
        NodeName: name,
        Ip: ip,
        Zone: zones[index % zones.length],
        Zones: Object.fromEntries(zones.map((zone) => [zone, 'windhoek'])),
        PortRange: [link, link + 15],
        SeedNodes: seeds,
        DataDir: join(folder, `${name}-data`),
        Listen: {
          Frontend: `${ip}:${front}`,
          Readiness: `${ip}:${ready}`,
          ControlPlane: `${ip}:${operator}`,
        },
        Limits: LIMITS,
        FaultTolerance: { Machines: 2, Zones: 0, Regions: 0 },
        Bounds: BOUNDS,
      };
      if (role === 'control') mkdirSync(fields.DataDir, { recursive: true });
      const address = role === 'control' ? fields.Listen.ControlPlane : fields.Listen.Frontend;
      return new Machine({
        role,
        folder,
        name,
        fields,
        address,
        readiness: fields.Listen.Readiness,
        zone: fields.Zone,
      });
    };
    this.controls = Array.from({ length: size.controls }, (_, index) => create('control', index));
    this.entries = Array.from({ length: size.entries }, (_, index) => create('entry', index));
    this.machines.forEach((machine) => machine.start(true));
  }

  get machines() {
    return [...this.controls, ...this.entries];
  }

  /** Waits until all entry processes say that they are ready. */
  async waitUntilReady(timeoutMs = 20_000) {
    const endsAt = performance.now() + timeoutMs;
    for (const { readiness } of this.entries) {
      while ((await call({ address: readiness, path: '/api/readyz' })).status !== 200) {
        if (performance.now() > endsAt) throw new Error('not ready in time');
        await sleep(100);
      }
    }
  }

  /** Ends all processes that were started. */
  async stop() {
    for (const { child, exited, ending } of this.machines) {
      if (!child || ending !== undefined) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await exited;
    }
    if (!process.env.KEEP) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Sends one request on a new connection; the status is 0 if there is no answer in time. */
export function call({ address, method = 'GET', path, headers = {}, body, timeoutMs, agent }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const chunks = [];
    const request = openRequest({ host, port, method, path, headers, agent: agent ?? false });
    const timer = setTimeout(() => request.destroy(), timeoutMs ?? CALL_TIMEOUT_MS);
    const finish = (answer) => {
      clearTimeout(timer);
      resolve({ body: Buffer.concat(chunks).toString(), ...answer });
    };
    request.once('response', (response) => {
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('close', () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          isComplete: response.complete,
        }),
      );
      response.once('error', () => undefined);
    });
    request.once('error', () => finish({ status: 0, headers: {}, isComplete: false }));
    request.end(body);
  });
}

/** The operator: sends an order to the control processes in turn until one answers clearly. */
export class Operator {
  constructor({ controls, recorder }) {
    this.controls = controls;
    this.recorder = recorder;
  }

  /** @param order - Control processes in the order in which they are asked. */
  async send(method, path, body, order = this.controls) {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const endsAt = performance.now() + BOUNDS.AckMs;
    for (let attempt = 0; performance.now() < endsAt; attempt += 1) {
      const control = order[attempt % order.length];
      const { status } = await call({ address: control.address, method, path, body: text });
      this.recorder.write(
        `operator: ${method} ${path} at ${control.name}: ${status || 'no answer'}`,
      );
      if (status === 200 || (status >= 400 && status < 500)) return status;
      await sleep(100);
    }
    return 0;
  }

  async configure(document) {
    const endsAt = performance.now() + 20_000;
    for (;;) {
      const status = await this.send('PUT', '/api/config', document);
      if (status === 200) return;
      if (performance.now() > endsAt) throw new Error('no configuration accepted');
    }
  }
}

/** A server of a plain service, which says that it is alive as the platform's runners do. */
export class Runner {
  constructor({ id, service, zone, system, recorder, host, handle, capacity = 6 }) {
    Object.assign(this, { id, service, zone, system, recorder, capacity });
    this.host = host ?? `127.${system.network}.3.1`;
    this.handle = handle;
    this.sequence = 0;
    this.born = Date.now();
    this.runs = [];
    this.isStopped = false;
  }

  async start() {
    this.server = createServer((request, response) => {
      this.receive(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 20_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, this.host, resolve);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.beat().catch(() => undefined);
  }

  stop() {
    this.isStopped = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  async beat() {
    while (!this.isStopped) {
      await this.announce('ready');
      await sleep(HEARTBEAT_MS);
    }
  }

  /** Calls one control process after another until one acknowledges. */
  async announce(state, order) {
    this.sequence += 1;
    const body = JSON.stringify({
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Capacity: this.capacity,
      State: state,
      ColdRemainingMs: 0,
      Sequence: this.sequence,
      born: this.born,
    });
    const { controls } = this.system;
    const first = Math.floor(Math.random() * controls.length);
    const ordered = order ?? [...controls.slice(first), ...controls.slice(0, first)];
    for (const { address, name } of ordered) {
      const path = `/api/instances/${this.id}`;
      const { status } = await call({ address, method: 'PUT', path, body });
      if (status === 200) return name;
    }
    return undefined;
  }

  async receive(request, response) {
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      request.resume();
      response.writeHead(421, { 'X-Not-Executed': '1', 'Content-Length': 0 }).end();
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    const run = {
      at: performance.now(),
      runner: this,
      attempt: request.headers['x-attempt-id'],
      headers: request.headers,
      method: request.method,
      path: request.url,
      body,
    };
    this.runs.push(run);
    if (this.handle) await this.handle(run, request, response);
    else await this.answer(run, response);
  }

  /** Answers as a sound server does. */
  async answer({ attempt }, response, workMs = 40) {
    await sleep(workMs);
    if (response.destroyed) return;
    const text = `${attempt} ran at ${this.id}`;
    response.writeHead(200, {
      'X-Attempt-Id': attempt,
      'X-Response-Signature': `${this.id}.${attempt}`,
      'Content-Type': 'text/plain',
      'Content-Length': text.length,
    });
    response.end(text);
  }
}

/** Creates a configuration with one route for each of the given kinds. */
export function createDocument(version, routes, services, more = {}) {
  return {
    Version: version,
    Routes: routes.map((route) => ({
      Name: `r-${route.PathPrefix.replaceAll('/', '')}`,
      Hostname: HOST,
      Type: 'idempotent',
      TimeoutMs: 3000,
      TargetLatencyMs: 300,
      Priority: 0,
      MaxAttempts: 2,
      Public: false,
      ...route,
    })),
    Services: services.map((service) => ({
      HealthPath: '/healthz',
      MaxConnections: 100,
      Protocol: 'h1',
      Tls: false,
      ...service,
    })),
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
    Tenants: [{ Name: TENANT, ApiKeys: [KEY], Priority: 1 }],
    ...more,
  };
}

let attemptCount = 0;
const run = Math.random().toString(16).slice(2, 10);

/** Gets a new id of a client attempt. */
export function createAttemptId() {
  attemptCount += 1;
  return `${run}${String(attemptCount).padStart(8, '0')}`;
}

/** Sends one client attempt to an entry process. */
export async function sendAttempt(
  entry,
  { path, method = 'GET', body, deadlineMs = 3000, ...rest },
) {
  const attempt = createAttemptId();
  const answer = await call({
    address: entry.address,
    method,
    path,
    body,
    timeoutMs: deadlineMs,
    ...rest,
    headers: {
      Host: HOST,
      'X-Attempt-Id': attempt,
      'X-Deadline-Ms': deadlineMs,
      Authorization: `Token ${KEY}`,
      ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
      ...rest.headers,
    },
  });
  return { attempt, entry, ...answer };
}

/** A client's agent that keeps its connection. */
export function createKeptAgent() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/**
 * Runs a case: exits with 1 if it returns false, 0 if true, and 2 if it could not run.
 * @param recordFile - Path of the record.
 * @param play - Gets the recorder, and a function that adds what is to be ended in any case.
 */
export async function runCase(recordFile, play) {
  const recorder = new Recorder(recordFile);
  const cleanups = [];
  const end = async (status) => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
    recorder.write(`exit ${status}`);
    process.exit(status);
  };
  const giveUp = (reason) => {
    recorder.write(`the case could not run: ${reason}`);
    end(2).catch(() => process.exit(2));
  };
  process.on('uncaughtException', (error) => giveUp(error.stack));
  process.on('unhandledRejection', (error) => giveUp(error?.stack ?? error));
  ['SIGTERM', 'SIGINT'].forEach((name) => process.once(name, () => giveUp(name)));
  setTimeout(() => giveUp('it takes too long'), 115_000).unref();
  try {
    const isKept = await play({ recorder, onEnd: (each) => cleanups.push(each) });
    await end(isKept ? 0 : 1);
  } catch (error) {
    giveUp(error.stack);
  }
}
