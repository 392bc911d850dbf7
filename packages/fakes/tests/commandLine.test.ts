import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { getSampleRelease } from '../src/harness/index.js';
import { ask, startFleet, waitFor } from './startFleet.js';
import type { TestFleet } from './startFleet.js';

const CLI = fileURLToPath(new URL('../../../cli/dist/src/main.js', import.meta.url));
const DAEMON = fileURLToPath(new URL('../../../daemon/dist/src/main.js', import.meta.url));

let running: TestFleet;

before(async () => {
  running = await startFleet('command', { engines: 1, fleet: { controls: 1 } });
});

after(() => running.fleet.stop());

/** Runs a command and gets its exit code and output. */
function run(script: string, ...args: string[]): Promise<{ code: number; text: string }> {
  const env = {
    ...process.env,
    AZURECART_CONTROL: running.fleet.controls[0]?.rpc,
    AZURECART_SECRET_FILE: running.fleet.getPath('operator.secret'),
  };
  return new Promise((resolve) => {
    execFile(process.execPath, [script, ...args], { env }, (error, stdout, stderr) => {
      resolve({ code: Number(error?.code ?? 0), text: stdout + stderr });
    });
  });
}

async function writeRelease(name: string, release: unknown): Promise<string> {
  const file = running.fleet.getPath(name);
  await writeFile(file, JSON.stringify(release));
  return file;
}

test('a good release is checked', async () => {
  const file = await writeRelease('good.json', getSampleRelease(2));
  const { code, text } = await run(CLI, 'check', file);
  assert.equal(code, 0);
  assert.match(text, /release 2 is good: 1 models, 3 customers, 1 services/);
});

test('a bad release names the field', async () => {
  const file = await writeRelease('bad.json', { ...getSampleRelease(2), follows: 'one' });
  const { code, text } = await run(CLI, 'check', file);
  assert.equal(code, 2);
  assert.match(text, /follows: expected number, found "one"/);
});

test('a diff names what changes', async () => {
  const file = await writeRelease('diff.json', getSampleRelease(2, { note: 'changed' }));
  assert.match((await run(CLI, 'diff', file)).text, /note: "sample release" becomes "changed"/);
});

test('a release is submitted and waited for', async () => {
  const file = await writeRelease('two.json', getSampleRelease(2, { note: 'two' }));
  const { code, text } = await run(CLI, 'submit', file, '--operator', 'ana');
  assert.equal(code, 0, text);
  assert.match(text, /release 2 by ana is in force everywhere/);
});

test('another release with the number is refused and told who won', async () => {
  const file = await writeRelease('other.json', getSampleRelease(2, { note: 'other' }));
  const { code, text } = await run(CLI, 'submit', file, '--operator', 'ben');
  assert.equal(code, 3);
  assert.match(text, /accepted by ana/);
});

test('the status has members, VMs, owners and the release', async () => {
  const { text } = await run(CLI, 'status', '--json');
  const status = JSON.parse(text) as Record<string, unknown[]> & { release: { number: number } };
  assert.equal(status.members?.length, 1);
  assert.equal(status.sessions?.length, 2);
  assert.equal(status.owners?.length, 2);
  assert.equal(status.release.number, 2);
});

test('the status is a table without --json', async () => {
  assert.match((await run(CLI, 'status')).text, /control member/);
});

test('a VM is drained and put back', async () => {
  assert.equal((await run(CLI, 'drain', 'entry-1')).code, 0);
  assert.match((await run(CLI, 'status')).text, /draining/);
  await waitFor(async () => {
    const { owners } = await running.fleet.getStatus();
    return owners.length === 2 && owners.every(({ session }) => session.startsWith('entry-0#'));
  }, 'the other VM owns all shards');
  assert.equal((await run(CLI, 'drain', 'entry-1', '--undo')).code, 0);
});

test('an unknown VM is an error', async () => {
  assert.match((await run(CLI, 'drain', 'none')).text, /no session of VM none/);
});

test('the time line of a request is in order', async () => {
  const { id } = await ask(running);
  const { text } = await run(
    CLI,
    'timeline',
    ...running.fleet.entryUrls,
    '--request',
    id,
    '--json',
  );
  const kinds = (JSON.parse(text) as { kind: string }[]).map((event) => event.kind);
  assert.deepEqual(kinds, ['arrived', 'granted', 'sent', 'first-token', 'completed']);
});

test('the time line is drawn as one page', async () => {
  const file = running.fleet.getPath('page.html');
  assert.equal((await run(CLI, 'timeline', ...running.fleet.entryUrls, '--html', file)).code, 0);
  assert.match(await readFile(file, 'utf8'), /new vis\.Timeline/);
});

test('a wrong secret is refused', async () => {
  const secret = running.fleet.getPath('upstream.secret');
  assert.match((await run(CLI, 'status', '--secret', secret)).text, /wrong secret/);
});

test('an unknown command points to the help', async () => {
  assert.match((await run(CLI, 'deploy')).text, /no command deploy; see --help/);
});

test('the help tells the exit codes', async () => {
  assert.match((await run(CLI, '--help')).text, /3 {2}refused/);
});

test('settings are checked', async () => {
  const file = running.fleet.getPath('entry-0.json');
  assert.match((await run(DAEMON, '--settings', file, '--check')).text, /role entry are good/);
});

test('bad settings name the field', async () => {
  const good = JSON.parse(await readFile(running.fleet.getPath('entry-0.json'), 'utf8')) as object;
  const file = await writeRelease('bad-settings.json', { ...good, drainMs: -1, colour: 'red' });
  const { code, text } = await run(DAEMON, '--settings', file, '--check');
  assert.equal(code, 1);
  assert.match(text, /drainMs/);
  assert.match(text, /colour/);
});
