import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS } from '../src/soak/Bounds.js';
import { SERVICES } from '../src/soak/configuration.js';
import { startRunners } from './startRunners.js';
import type { RunnerSite, SiteRequest } from './startRunners.js';

const ENTRIES = 3;
const RUNNERS = 8;
const RUN_MS = 12_000;
const INTERVAL_MS = 60;
/** One request in so many has the deadly part; two others have its first part without it. */
const DEADLY_EVERY = 10;
/** Requests with a deadly part that may reach runners once it is known to all entry processes. */
const MAX_LATE_ARRIVALS = 3;
/** Share of the sound requests with the same first part that have to be served. */
const MIN_SERVED_SHARE = 0.9;

// Guards against a prompt part that ends one runner after the other on all entry processes.
test('a prompt part that ends runners is held back everywhere while others are served', async () => {
  const site = await startRunners('poison', {
    controls: 3,
    entries: ENTRIES,
    services: Array.from({ length: RUNNERS }, () => SERVICES.models),
    runner: { deadlyParts: new Set(['dead']) },
  });
  try {
    const sound: Promise<SoundRequest>[] = [];
    const others: Promise<number>[] = [];
    const endAt = performance.now() + RUN_MS;
    for (let index = 0; performance.now() < endAt; index += 1) {
      const own = `own${index}`;
      const entry = index % ENTRIES;
      const kind = index % DEADLY_EVERY;
      if (kind === 0)
        others.push(site.send(entry, { ...chat(index), parts: ['first', 'dead', own] }));
      else if (kind === 1 || kind === 5)
        sound.push(sendSound(site, entry, { ...chat(index), parts: ['first', own] }));
      else others.push(site.send(entry, { ...chat(index), parts: [`group${kind}`, own] }));
      await sleep(INTERVAL_MS);
    }
    const requests = await Promise.all(sound);
    await Promise.all(others);
    const fifthAt = site.crashTimes[4] ?? Infinity;
    const late = site
      .getReceived()
      .filter(({ headers }) => String(headers['x-prefix-hash']).includes('dead'))
      .filter(({ receivedAt }) => receivedAt > fifthAt + BOUNDS.contactMs);
    assert.ok(
      late.length <= MAX_LATE_ARRIVALS,
      `${late.length} late arrivals, ${site.crashTimes.length} runners ended`,
    );
    const unserved = requests.filter(({ status }) => status !== 200);
    const served = 1 - unserved.length / requests.length;
    if (served < MIN_SERVED_SHARE) await printUnserved(site, unserved);
    assert.ok(served >= MIN_SERVED_SHARE, `${served} of the sound requests served`);
  } finally {
    await site.stop();
  }
});

/** A request without the deadly part, and its answer. */
interface SoundRequest {
  id: string;
  status: number;
  startedAt: number;
  endedAt: number;
}

async function sendSound(
  site: RunnerSite,
  entry: number,
  request: SiteRequest,
): Promise<SoundRequest> {
  const startedAt = performance.now();
  const status = await site.send(entry, request);
  return { id: request.id, status, startedAt, endedAt: performance.now() };
}

/** Prints what tells the victims of crashes from requests that were refused. */
async function printUnserved(site: RunnerSite, unserved: SoundRequest[]): Promise<void> {
  const ids = unserved.map(({ id }) => `"${id}"`);
  const lines = await site.cluster.findLogLines(ids);
  process.stderr.write(
    `${JSON.stringify({ crashTimes: site.crashTimes, unserved })}\n${lines.join('\n')}\n`,
  );
}

function chat(index: number) {
  return { id: `att-${index}`, kind: 'chat' as const };
}
