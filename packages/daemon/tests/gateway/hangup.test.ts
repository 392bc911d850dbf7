import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';

const main = resolve(import.meta.dirname, '../../src/gateway/main.js');

/** Sends SIGHUP to the process as soon as it loads a library of the program. */
const HOOKS = `
  export async function load(url, context, next) {
    if (url.includes('/node_modules/')) process.kill(process.pid, 'SIGHUP');
    return next(url, context);
  }`;

const REGISTRATION = `
  import { register } from 'node:module';
  register('${toDataUrl(HOOKS)}');`;

function toDataUrl(code: string): string {
  return `data:text/javascript,${encodeURIComponent(code).replaceAll("'", '%27')}`;
}

// Guards against a process that changed settings end before its modules are loaded.
test('a process that loads its modules outlives SIGHUP', async () => {
  const { stdout } = await promisify(execFile)(process.execPath, [
    ...['--import', toDataUrl(REGISTRATION)],
    ...[main, '--help'],
  ]);
  assert.match(stdout, /azurecart-gateway/);
});
