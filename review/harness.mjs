/**
 * Starts the programs of the project as the deploy file does, on loopback addresses, with stand-ins
 * for the platform, the operator and the runners. Needs nothing but Node.js.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as openRequest } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
export { sleep };

const HEARTBEAT_MS = 1200;
const NETWORK = 8 + (process.pid % 240);
const startedAt = performance.now();

/** The values that the pages give for the small deployments. */
export const BOUNDS = {
  DrainMs: 2000,
  GraceS: 8,
  RetryBudgetRatio: 0.2,
  RetryWindowS: 10,
  RetryMinExtra: 104,
};
export const MEMORY_MB = 350;

/** Writes lines to `record.txt` in the folder of the case. */
export class Recorder {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    writeFileSync(this.file, `TROUBLE=${HAS_TROUBLE ? 1 : 0}\n`);
  }

  write(text) {
    const at = ((performance.now() - startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.file, `${at}  ${text}\n`);
  }
}

export async function waitUntil(condition, timeoutMs, name) {
  const endAt = performance.now() + timeoutMs;
  while (performance.now() < endAt) {
    if (await condition()) return;
    await sleep(50);
  }
  throw new Error(`timed out: ${name}`);
}

/** Gets ports that are free at all the given hosts. */
async function getFreePorts(count, hosts) {
  const ports = [];
  for (let tries = 0; ports.length < count && tries < 500; tries += 1) {
    const port = 10_000 + Math.floor(Math.random() * 22_000);
    const isFree = await Promise.all(hosts.map((host) => canListen(host, port)));
    if (!ports.includes(port) && isFree.every(Boolean)) ports.push(port);
  }
  return ports;
}

function canListen(host, port) {
  return new Promise((done) => {
    const server = createTcpServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** Fills in a template as DEPLOY.md tells it; the templates here only use `{{name|json}}`. */
function renderTemplate(path, fields) {
  return readFileSync(join(ROOT, path), 'utf8').replace(/\{\{([\w.]+)\|json\}\}/g, (_, name) =>
    JSON.stringify(name.split('.').reduce((value, key) => value?.[key], fields)),
  );
}

/** Reads the start command and the template of a role from the deploy file. */
function readRole(name) {
  const [, section = ''] = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split(
    `[roles.${name}]`,
  );
  const read = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1] ?? '';
  return { run: read('run').split(' '), template: read('template') };
}

/** Control and entry processes; `toleratedLosses` is that of the small deployments. */
export class Deployment {
  processes = [];

  folder = mkdtempSync(join(tmpdir(), 'review-'));

  constructor({ recorder, controls = 5, entries = 1, zones = ['zone-a', 'zone-b', 'zone-c'] }) {
    Object.assign(this, { recorder, zones });
    this.hosts = [];
    const add = (role, index, number) => {
      const host = `127.${NETWORK}.${number}.${index + 1}`;
      this.hosts.push(host);
      const zone = zones[index % zones.length];
      this.processes.push({ name: `${role}-${index}`, role, host, zone, hasStarted: false });
    };
    for (let index = 0; index < controls; index += 1) add('control', index, 1);
    for (let index = 0; index < entries; index += 1) add('entry', index, 2);
    this.toleratedLosses = Math.floor((controls - 1) / 2);
  }

  get controls() {
    return this.processes.filter(({ role }) => role === 'control');
  }

  get entries() {
    return this.processes.filter(({ role }) => role === 'entry');
  }

  async start() {
    const [link, operators, front, readiness] = await getFreePorts(4, this.hosts);
    this.ports = { link, operators, front, readiness };
    for (const each of this.processes) this.startProcess(each);
    await sleep(500);
  }

  /** Starts a process with the command of the deploy file. */
  startProcess(target) {
    const { link, operators, front, readiness } = this.ports;
    const { name, role, host, zone } = target;
    const isEntry = role === 'entry';
    const { run, template } = readRole(role);
    const settings = join(this.folder, `${name}.json`);
    const fields = {
      NodeName: name,
      Ip: host,
      Zone: zone,
      PortRange: [link, link + 15],
      SeedNodes: this.controls.slice(0, 3).map((control) => `${control.host}:${operators}`),
      Listen: isEntry
        ? { Frontend: `${host}:${front}`, Readiness: `${host}:${readiness}` }
        : { ControlPlane: `${host}:${operators}` },
      DataDir: join(this.folder, `${name}-data`),
      Bootstrap: !target.hasStarted,
      FaultTolerance: { Machines: this.toleratedLosses },
      Limits: { MemoryMb: MEMORY_MB },
      Bounds: BOUNDS,
    };
    writeFileSync(settings, renderTemplate(template, fields));
    const [program, ...words] = run;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, AZURECART_BOOT: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = (chunk) => appendFileSync(join(this.folder, `${name}.log`), chunk);
    child.stdout.on('data', log);
    child.stderr.on('data', log);
    child.once('exit', (code, signal) => {
      this.recorder.write(`${name} ended: code ${code}, signal ${signal}`);
    });
    Object.assign(target, { child, hasStarted: true });
    Object.assign(target, {
      front: { host, port: front },
      readiness: { host, port: readiness },
      operators: { host, port: operators },
    });
    this.recorder.write(`${name} started, pid ${child.pid}`);
  }

  async submit(config) {
    const body = JSON.stringify(config);
    await waitUntil(
      async () => {
        for (const { operators } of this.controls) {
          const answer = await call({ ...operators, method: 'PUT', path: '/api/config', body });
          if (answer.status === 200) return true;
        }
        return false;
      },
      40_000,
      'confirmation of the config',
    );
    this.recorder.write(`config ${config.Version} confirmed`);
  }

  async waitUntilReady() {
    for (const entry of this.entries)
      await waitUntil(
        async () =>
          (await call({ ...entry.readiness, method: 'GET', path: '/api/readyz' })).status === 200,
        20_000,
        `readiness of ${entry.name}`,
      );
  }

  async stop() {
    const isRunning = ({ child }) => child && child.exitCode === null && child.signalCode === null;
    for (const each of this.processes.filter(isRunning)) each.child.kill('SIGKILL');
    await sleep(300);
    if (process.env.KEEP) this.recorder.write(`logs kept in ${this.folder}`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** One HTTP request on a connection of its own; status 0 stands for no answer. */
export function call({ host, port, method, path, headers = {}, body, timeoutMs = 2000, agent }) {
  return new Promise((done) => {
    const request = openRequest(
      { host, port, method, path, headers, agent: agent ?? false, setHost: !headers.Host },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        const finish = () =>
          done({
            status: response.statusCode,
            headers: response.headers,
            text: Buffer.concat(chunks).toString(),
            isComplete: response.complete,
          });
        response.on('end', finish);
        response.on('error', finish);
      },
    );
    const timer = setTimeout(() => request.destroy(new Error('time is over')), timeoutMs);
    request.on('error', (error) => done({ status: 0, text: String(error), isComplete: false }));
    request.once('close', () => clearTimeout(timer));
    request.end(body);
  });
}

/** Sends raw bytes on one connection, and gets what came back within the time. */
export function exchangeBytes({ host, port }, bytes, timeoutMs) {
  return new Promise((done) => {
    let text = '';
    const socket = connect({ host, port }, () => socket.write(bytes));
    const finish = () => {
      socket.destroy();
      done(text);
    };
    const timer = setTimeout(finish, timeoutMs);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      clearTimeout(timer);
      finish();
    });
  });
}

/**
 * A runner of a plain service: announces itself, and answers each request with a signed body after
 * its work. `handle` may replace the answer.
 */
export class Runner {
  runs = [];

  sequence = 0;

  constructor({
    deployment,
    id,
    service,
    zone,
    workMs = 40,
    capacity = 6,
    host = `127.${NETWORK}.3.1`,
    handle,
  }) {
    Object.assign(this, { deployment, id, service, zone, workMs, capacity, host, handle });
    this.born = Date.now();
    this.server = createServer((request, response) => this.serve(request, response));
  }

  async start() {
    await new Promise((done) => {
      this.server.listen(0, this.host, done);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    await waitUntil(() => this.checkIn(), 20_000, `check-in of ${this.id}`);
    this.timer = setInterval(() => this.checkIn(), HEARTBEAT_MS);
  }

  async checkIn() {
    this.sequence += 1;
    const body = JSON.stringify({
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Capacity: this.capacity,
      State: 'ready',
      ColdRemainingMs: 0,
      Phase: 'mixed',
      Models: [{ Name: 'm', Version: 1, Adapters: [] }],
      Sequence: this.sequence,
      born: this.born,
    });
    for (const { operators } of this.deployment.controls) {
      const answer = await call({
        ...operators,
        method: 'PUT',
        path: `/api/instances/${this.id}`,
        body,
        timeoutMs: 1000,
      });
      if (answer.status === 200) return true;
    }
    return false;
  }

  serve(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', async () => {
      const { headers, method, url } = request;
      const expected = headers['x-expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'x-not-executed': '1' }).end();
        return;
      }
      const run = { attempt: headers['x-attempt-id'], method, url, headers, at: performance.now() };
      run.bodyBytes = chunks.reduce((sum, { length }) => sum + length, 0);
      this.runs.push(run);
      if (this.handle) await this.handle(run, request, response);
      else {
        await sleep(this.workMs);
        this.answer(run, response);
      }
    });
  }

  answer(run, response, status = 200, text = `${this.id} ${run.attempt}`) {
    if (response.destroyed) return;
    response.writeHead(status, {
      'x-attempt-id': run.attempt ?? '',
      'x-response-signature': `${this.id}.${run.attempt}`,
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  /** Answers with a stream of events, one each `gapMs`, from the one after `Last-Event-Id`. */
  async answerStream(run, response, { events, gapMs }) {
    response.writeHead(200, {
      'x-attempt-id': run.attempt ?? '',
      'x-response-signature': `${this.id}.${run.attempt}`,
      'content-type': 'text/event-stream',
    });
    const first = Number(run.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= events; event += 1) {
      await sleep(gapMs);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${this.id} ${run.attempt} ${event}/${events}\n\n`);
    }
    response.end();
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** The config of a small deployment with one plain service. */
export function createConfig(changes = {}) {
  const route = (name, type, path) => ({
    Name: name,
    Hostname: 'work.example',
    PathPrefix: path,
    Type: type,
    TimeoutMs: 1500,
    TargetLatencyMs: 150,
    Priority: 2,
    Service: 'work-orders',
    MaxAttempts: type === 'idempotent' ? 2 : 1,
    Public: false,
  });
  return {
    Version: 7,
    Routes: [route('book', 'non_idempotent', '/book/'), route('read', 'idempotent', '/read/')],
    Services: [
      {
        Name: 'work-orders',
        HealthPath: '/healthz',
        MaxConnections: 96,
        Protocol: 'h1',
        Tls: false,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [
      { Name: 'tenant-a', ApiKeys: ['key-of-tenant-a'], Priority: 1 },
      { Name: 'tenant-b', ApiKeys: ['key-of-tenant-b'], Priority: 1 },
    ],
    ...changes,
  };
}

/** A streaming route and its engines, with the figures of the small deployments. */
export function createStreamConfig(changes = {}) {
  const config = createConfig(changes);
  const engine = {
    Capacity: 11,
    KvCapacity: 405_000,
    KvBytes: 163_840,
    BandwidthMbps: 400_000,
    Stride: 34,
    Models: [{ Name: 'm' }],
    step_ms: 1.31,
    per_seq_ms: 0.00133,
    context_per_k: 0.00213,
    read_per_s: 154_000,
    pairs_per_m: 0.162,
    chunk: 2048,
    report_lag_ms: 200,
    LoadsPerS: 0,
    loads_at_once: 8,
    delays: [],
    usual: { prompt: 11_316, answer: 1266 },
    HopMs: 0.1,
  };
  config.Routes.push({
    Name: 'ask',
    Hostname: 'work.example',
    PathPrefix: '/ask/',
    Type: 'streaming',
    TimeoutMs: 10_000,
    TargetLatencyMs: 250,
    Priority: 0,
    Service: 'assistant',
    MaxAttempts: 2,
    Public: false,
    SessionAffinity: true,
    Resumable: true,
    TargetItlMs: 250,
  });
  config.Routes.push({
    ...config.Routes.at(-1),
    Name: 'review',
    PathPrefix: '/review/',
    TargetLatencyMs: 1500,
    TargetItlMs: 600,
    Priority: 1,
  });
  // The longest prompts. Not resumable, so its requests count as non-idempotent.
  config.Routes.push({
    ...config.Routes.at(-1),
    Name: 'digest',
    PathPrefix: '/digest/',
    TimeoutMs: 15_000,
    TargetLatencyMs: 6000,
    TargetItlMs: 1000,
    Priority: 2,
    Resumable: false,
  });
  config.Services.push({
    Name: 'assistant',
    HealthPath: '/healthz',
    MaxConnections: 344,
    Protocol: 'h1',
    Tls: false,
    Engine: engine,
  });
  return config;
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, body) {
  const recorder = new Recorder(folder);
  const cleanups = [];
  let code = 2;
  try {
    const isBroken = await body(recorder, (cleanup) => cleanups.push(cleanup));
    recorder.write(isBroken ? 'the rule was broken' : 'the rule held');
    code = isBroken ? 1 : 0;
  } catch (error) {
    recorder.write(`the case could not run: ${error.stack}`);
  }
  for (const cleanup of cleanups.reverse()) await cleanup();
  process.exit(code);
}
