/** The usual load of a small deployment, its runners, and the platform that keeps processes up. */
import { readFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { call, MEMORY_MB, Runner, sleep } from './harness.mjs';

const ENGINES = 9;
const SERVERS = 3;
/** Kinds of requests with the figures of the sheet; each entry process gets half of the rates. */
export const KINDS = [
  { name: 'chat', path: '/ask/1', perSecond: 25.2, tokens: 4960, events: 38, deadlineMs: 10_000 },
  {
    name: 'review',
    path: '/review/1',
    perSecond: 1.41,
    tokens: 45_000,
    events: 23,
    deadlineMs: 10_000,
  },
  {
    name: 'digest',
    path: '/digest/2',
    perSecond: 0.655,
    tokens: 182_000,
    events: 19,
    deadlineMs: 15_000,
  },
  { name: 'booking', path: '/book/1', perSecond: 2.34, deadlineMs: 1500 },
];
/** The kind of the long requests of the cases. Clients wait for its first event for up to 24 s. */
export const LONG_KIND = {
  name: 'long',
  path: '/digest/1',
  tokens: 182_000,
  events: 19,
  deadlineMs: 15_000,
};
const EVENT_MS = 45;
const TOKENS_PER_MS = 154;
const MS_PER_MILLION_PAIRS = 0.162;
const RESTART_DELAY_MS = 300;
/** LOST is broken by more than three such requests. */
const BROKEN_ABOVE = 3;

export function getHeaders({ deadlineMs, tokens, events }, attempt) {
  const headers = {
    Host: 'work.example',
    'X-Attempt-Id': attempt,
    'X-Deadline-Ms': String(deadlineMs),
    Authorization: 'Token key-of-tenant-a',
  };
  if (tokens === undefined) return headers;
  return {
    ...headers,
    'X-Model': 'm',
    'X-Token-Usage': `${tokens},${events * 34}`,
    'X-Prefix-Hash': `5c1e07a2:40,${attempt}:${tokens - 40}`,
  };
}

/**
 * Ends an entry process that uses more memory than its limit, and starts each one again that has
 * ended.
 */
export class Platform {
  /** Number of ends by name. */
  ends = new Map();

  peakMb = 0;

  constructor(deployment, recorder) {
    Object.assign(this, { deployment, recorder });
    this.timer = setInterval(() => deployment.entries.forEach((entry) => this.check(entry)), 10);
  }

  check(entry) {
    const { child, name } = entry;
    if (entry.isRestarting) return;
    if (child.exitCode !== null || child.signalCode !== null) {
      this.restart(entry);
      return;
    }
    let usedMb = 0;
    try {
      const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
      usedMb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
    } catch {
      return;
    }
    this.peakMb = Math.max(this.peakMb, usedMb);
    if (usedMb <= MEMORY_MB) return;
    this.recorder.write(`${name} uses ${usedMb.toFixed(0)} MB of ${MEMORY_MB}: killed`);
    child.kill('SIGKILL');
    this.restart(entry);
  }

  restart(entry) {
    Object.assign(entry, { isRestarting: true });
    this.ends.set(entry.name, (this.ends.get(entry.name) ?? 0) + 1);
    setTimeout(() => {
      this.deployment.startProcess(entry);
      Object.assign(entry, { isRestarting: false });
    }, RESTART_DELAY_MS);
  }

  stop() {
    clearInterval(this.timer);
  }
}

/** The usual clients of one entry process, which keep their connections for later requests. */
class UsualClients {
  requests = [];

  idle = [];

  open = 0;

  constructor(entry) {
    this.entry = entry;
    this.timers = KINDS.map((kind) =>
      setInterval(() => this.send(kind), (1000 * 2) / kind.perSecond),
    );
  }

  async send(kind) {
    const { entry } = this;
    const client = this.idle.pop() ?? {
      agent: new Agent({ keepAlive: true, maxSockets: 1 }),
      served: 0,
    };
    const attempt = `${kind.name}-${entry.name}-${this.requests.length}`;
    const record = { attempt, isKept: client.served > 0 };
    this.requests.push(record);
    this.open += 1;
    record.answer = await call({
      ...entry.front,
      method: 'POST',
      path: kind.path,
      headers: getHeaders(kind, attempt),
      body: '{}',
      agent: client.agent,
      timeoutMs: kind.deadlineMs,
    });
    this.open -= 1;
    client.served += 1;
    if (record.answer.isComplete) this.idle.push(client);
    else client.agent.destroy();
  }

  async stop() {
    this.timers.forEach((timer) => clearInterval(timer));
    while (this.open > 0) await sleep(50);
    this.idle.forEach(({ agent }) => agent.destroy());
  }
}

/** Load and runners for the entry processes of a deployment. */
export class UsualLoad {
  constructor(deployment, recorder) {
    Object.assign(this, { deployment, recorder });
    this.runners = createRunners(deployment);
  }

  async start() {
    await Promise.all(this.runners.map((runner) => runner.start()));
    await this.deployment.waitUntilReady();
    await sleep(1500);
    this.clients = this.deployment.entries.map((entry) => new UsualClients(entry));
  }

  /** Ends the load; records what was cut, and returns whether LOST was broken. */
  async judge() {
    const { recorder } = this;
    await Promise.all(this.clients.map((each) => each.stop()));
    const ran = new Set(this.runners.flatMap(({ runs }) => runs.map(({ attempt }) => attempt)));
    const requests = this.clients.flatMap((each) => each.requests);
    const cut = requests.filter(
      ({ attempt, isKept, answer }) =>
        isKept && !answer.isComplete && answer.text !== 'Error: time is over' && ran.has(attempt),
    );
    const unanswered = cut.filter(({ answer }) => answer.status === 0);
    recorder.write(`usual requests: ${requests.length}`);
    cut.forEach(({ attempt, answer }) =>
      recorder.write(
        `${attempt}: on a kept connection, passed on to a runner, closed ` +
          (answer.status === 0 ? 'without an answer' : 'in the middle of its answer'),
      ),
    );
    recorder.write(
      `closed without an answer: ${unanswered.length}; more than ${BROKEN_ABOVE} break LOST`,
    );
    return unanswered.length > BROKEN_ABOVE;
  }

  stop() {
    this.runners.forEach((runner) => runner.stop());
  }
}

function createRunners(deployment) {
  const { zones } = deployment;
  const kinds = new Map([...KINDS, LONG_KIND].map((kind) => [kind.path, kind]));
  const engines = Array.from({ length: ENGINES }, (_, index) => {
    const handle = async (run, _request, response) => {
      const { tokens, events } = kinds.get(run.url);
      const pairsMs = ((tokens * tokens) / 2 / 1_000_000) * MS_PER_MILLION_PAIRS;
      await sleep(tokens / TOKENS_PER_MS + pairsMs);
      if (!response.destroyed)
        await engine.answerStream(run, response, { events, gapMs: EVENT_MS });
    };
    const engine = new Runner({
      deployment,
      id: `i-engine-${index}`,
      service: 'assistant',
      zone: zones[index % zones.length],
      capacity: 11,
      handle,
    });
    return engine;
  });
  const servers = Array.from(
    { length: SERVERS },
    (_, index) =>
      new Runner({
        deployment,
        id: `i-work-${index}`,
        service: 'work-orders',
        zone: zones[index],
        workMs: 85.7,
      }),
  );
  return [...engines, ...servers];
}
