import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  call,
  createStreamConfig,
  Deployment,
  HAS_TROUBLE,
  runCase,
  Runner,
  sleep,
} from '../harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const CLIENTS = 6;
const EVENTS = 38;
const EVENT_MS = 45;
/** The pause stays below the gap of two seconds after which clients abandon a stream. */
const PAUSED_EVENT = 15;
const PAUSE_MS = 1500;
const TIME_LIMIT_MS = 10_000;
const SIGTERM_AFTER_MS = 300;

/** Answers with a stream that pauses before one of its events; records how the run ended. */
async function stream(engine, run, response) {
  response.once('close', () => {
    run.ending = response.writableFinished ? 'whole answer sent' : 'cut by the gateway';
    run.endedAt = performance.now();
  });
  response.writeHead(200, {
    'x-attempt-id': run.attempt,
    'x-response-signature': `${engine.id}.${run.attempt}`,
    'content-type': 'text/event-stream',
  });
  const first = Number(run.headers['last-event-id'] ?? 0) + 1;
  for (let event = first; event <= EVENTS; event += 1) {
    await sleep(HAS_TROUBLE && event === PAUSED_EVENT ? PAUSE_MS : EVENT_MS);
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${run.attempt} ${event}/${EVENTS}\n\n`);
  }
  response.end();
}

await runCase(FOLDER, async (recorder, onEnd) => {
  const deployment = new Deployment({ recorder });
  onEnd(() => deployment.stop());
  await deployment.start();
  await deployment.submit(createStreamConfig());
  const engine = new Runner({
    deployment,
    id: 'i-engine-1',
    service: 'assistant',
    zone: 'zone-a',
    capacity: 11,
    handle: (run, _request, response) => stream(engine, run, response),
  });
  onEnd(() => engine.stop());
  await engine.start();
  await deployment.waitUntilReady();
  await sleep(1500);
  const [entry] = deployment.entries;

  const startedAt = performance.now();
  const answers = Array.from({ length: CLIENTS }, async (_, index) => {
    const attempt = `attempt-${index}`;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const answer = await call({
      ...entry.front,
      method: 'POST',
      path: '/ask/1',
      headers: {
        Host: 'work.example',
        'X-Attempt-Id': attempt,
        'X-Model': 'm',
        'X-Token-Usage': '4960,1300',
        'X-Prefix-Hash': `5c1e07a2:40,${index}:4920`,
        'X-Deadline-Ms': String(TIME_LIMIT_MS),
        Authorization: 'Token key-of-tenant-a',
      },
      body: '{}',
      agent,
      timeoutMs: TIME_LIMIT_MS,
    });
    agent.destroy();
    const events = (answer.text.match(/^id:/gm) ?? []).length;
    return { attempt, answer, events, endedAt: performance.now() };
  });
  await sleep(SIGTERM_AFTER_MS);
  entry.child.kill('SIGTERM');
  const signalledAt = performance.now();
  recorder.write(`${CLIENTS} streams sent; ${SIGTERM_AFTER_MS} ms later SIGTERM to ${entry.name}`);

  let lost = 0;
  for (const { attempt, answer, events, endedAt } of await Promise.all(answers)) {
    const run = engine.runs.find((each) => each.attempt === attempt);
    const isLost =
      !answer.isComplete &&
      run !== undefined &&
      run.ending !== 'whole answer sent' &&
      endedAt - startedAt < TIME_LIMIT_MS;
    if (isLost) lost += 1;
    recorder.write(
      `${attempt}: status ${answer.status}, ${events} of ${EVENTS} events, ` +
        `${answer.isComplete ? 'complete' : 'connection ended'} ` +
        `${Math.round(endedAt - signalledAt)} ms after SIGTERM; at the runner: ${run?.ending}`,
    );
  }
  if (engine.runs.length < CLIENTS) throw new Error('not all requests were run');
  recorder.write(`lost: ${lost}`);
  return lost > 0;
});
