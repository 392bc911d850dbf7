import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { getSampleRelease } from '../src/harness/index.js';
import { sendPrompt, startFleet, waitFor } from './startFleet.js';
import type { TestFleet } from './startFleet.js';

const CLI = fileURLToPath(new URL('../../../cli/dist/src/main.js', import.meta.url));
const DAEMON = fileURLToPath(new URL('../../../daemon/dist/src/main.js', import.meta.url));

let testFleet: TestFleet;

before(async () => {
  testFleet = await startFleet('command', { engineCount: 1, fleet: { controls: 1 } });
});

after(() => testFleet.fleet.stop());

/** Runs a script and gets its exit code and combined output. */
function runCommand(script: string, ...args: string[]): Promise<{ code: number; text: string }> {
  const env = {
    ...process.env,
    AZURECART_CONTROL: testFleet.fleet.controls[0]?.rpcAddress,
    AZURECART_SECRET_FILE: testFleet.fleet.getPath('operator.secret'),
  };
  return new Promise((resolve) => {
    execFile(process.execPath, [script, ...args], { env }, (error, stdout, stderr) => {
      resolve({ code: Number(error?.code ?? 0), text: stdout + stderr });
    });
  });
}

async function writeJsonFile(name: string, content: unknown): Promise<string> {
  const file = testFleet.fleet.getPath(name);
  await writeFile(file, JSON.stringify(content));
  return file;
}

test('check accepts a valid release', async () => {
  const file = await writeJsonFile('good.json', getSampleRelease(2));
  const { code, text } = await runCommand(CLI, 'check', file);
  assert.equal(code, 0);
  assert.match(text, /release 2 is good: 1 models, 3 customers, 1 services/);
});

test('check names the invalid field of a release', async () => {
  const file = await writeJsonFile('bad.json', { ...getSampleRelease(2), follows: 'one' });
  const { code, text } = await runCommand(CLI, 'check', file);
  assert.equal(code, 2);
  assert.match(text, /follows: expected number, found "one"/);
});

test('diff lists the changed fields', async () => {
  const file = await writeJsonFile('diff.json', getSampleRelease(2, { note: 'changed' }));
  assert.match(
    (await runCommand(CLI, 'diff', file)).text,
    /note: "sample release" becomes "changed"/,
  );
});

test('submit waits until the release is in force everywhere', async () => {
  const file = await writeJsonFile('two.json', getSampleRelease(2, { note: 'two' }));
  const { code, text } = await runCommand(CLI, 'submit', file, '--operator', 'ana');
  assert.equal(code, 0, text);
  assert.match(text, /release 2 by ana is in force everywhere/);
});

test('a different release with an accepted number is refused and names the operator', async () => {
  const file = await writeJsonFile('other.json', getSampleRelease(2, { note: 'other' }));
  const { code, text } = await runCommand(CLI, 'submit', file, '--operator', 'ben');
  assert.equal(code, 3);
  assert.match(text, /accepted by ana/);
});

test('status --json lists members, sessions, owners and the release', async () => {
  const { text } = await runCommand(CLI, 'status', '--json');
  const status = JSON.parse(text) as Record<string, unknown[]> & { release: { number: number } };
  assert.equal(status.members?.length, 1);
  assert.equal(status.sessions?.length, 2);
  assert.equal(status.owners?.length, 2);
  assert.equal(status.release.number, 2);
});

test('status without --json prints a table', async () => {
  assert.match((await runCommand(CLI, 'status')).text, /control member/);
});

test('a VM is drained and the drain is undone', async () => {
  assert.equal((await runCommand(CLI, 'drain', 'entry-1')).code, 0);
  assert.match((await runCommand(CLI, 'status')).text, /draining/);
  await waitFor(async () => {
    const { owners } = await testFleet.fleet.getStatus();
    return owners.length === 2 && owners.every(({ session }) => session.startsWith('entry-0#'));
  }, 'the other VM to own all shards');
  assert.equal((await runCommand(CLI, 'drain', 'entry-1', '--undo')).code, 0);
});

test('drain fails for an unknown VM', async () => {
  assert.match((await runCommand(CLI, 'drain', 'none')).text, /no session of VM none/);
});

test('timeline lists the events of a request in order', async () => {
  const { id } = await sendPrompt(testFleet);
  const { text } = await runCommand(
    CLI,
    'timeline',
    ...testFleet.fleet.entryUrls,
    '--request',
    id,
    '--json',
  );
  const kinds = (JSON.parse(text) as { kind: string }[]).map((event) => event.kind);
  assert.deepEqual(kinds, ['arrived', 'granted', 'sent', 'first-token', 'completed']);
});

test('timeline --html writes a single page', async () => {
  const file = testFleet.fleet.getPath('page.html');
  assert.equal(
    (await runCommand(CLI, 'timeline', ...testFleet.fleet.entryUrls, '--html', file)).code,
    0,
  );
  assert.match(await readFile(file, 'utf8'), /new vis\.Timeline/);
});

test('a wrong secret is refused', async () => {
  const secret = testFleet.fleet.getPath('upstream.secret');
  assert.match((await runCommand(CLI, 'status', '--secret', secret)).text, /wrong secret/);
});

test('an unknown command refers to --help', async () => {
  assert.match((await runCommand(CLI, 'deploy')).text, /no command deploy; see --help/);
});

test('the help lists the exit codes', async () => {
  assert.match((await runCommand(CLI, '--help')).text, /3 {2}refused/);
});

test('--check accepts valid settings', async () => {
  const file = testFleet.fleet.getPath('entry-0.json');
  assert.match(
    (await runCommand(DAEMON, '--settings', file, '--check')).text,
    /role entry are good/,
  );
});

test('--check names the invalid fields of settings', async () => {
  const settings = JSON.parse(
    await readFile(testFleet.fleet.getPath('entry-0.json'), 'utf8'),
  ) as object;
  const file = await writeJsonFile('bad-settings.json', {
    ...settings,
    drainMs: -1,
    colour: 'red',
  });
  const { code, text } = await runCommand(DAEMON, '--settings', file, '--check');
  assert.equal(code, 1);
  assert.match(text, /drainMs/);
  assert.match(text, /colour/);
});
