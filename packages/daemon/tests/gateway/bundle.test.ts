import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtemp, rm, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { after, before, test } from 'node:test';
import { promisify } from 'node:util';

const run = promisify(execFile);
const root = resolve(import.meta.dirname, '../../../../..');
const flags = ['--max-old-space-size=160'];

let folder = '';
let program = '';

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'azurecart-bundle-'));
  program = join(folder, 'azurecart-gateway.cjs');
  await run(process.execPath, ['deploy/bundle.mjs', folder], { cwd: root });
});

after(() => rm(folder, { recursive: true, force: true }));

test('the bundled program runs with the stored code', async () => {
  const { stdout, stderr } = await run(process.execPath, [...flags, program, '--help']);
  assert.match(stdout, /azurecart-gateway/);
  assert.equal(stderr, '');
});

test('the bundled program checks settings', async () => {
  const settings = join(folder, 'settings.json');
  await writeFile(settings, '{"role":"entry"}');
  const check = run(process.execPath, [...flags, program, '--settings', settings, '--check']);
  await assert.rejects(check, /readiness/);
});

test('the bundled program runs without the stored code if it is damaged', async () => {
  await truncate(join(folder, 'gateway', 'program.js.code'), 1000);
  const { stdout, stderr } = await run(process.execPath, [...flags, program, '--help']);
  assert.match(stdout, /azurecart-gateway/);
  assert.match(stderr, /stored code rejected/);
});
