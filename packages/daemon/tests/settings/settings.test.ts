import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { parseDocument } from '@azurecart/protocol';
import { Secret } from '../../src/secrets/index.js';
import { getSchemas } from '../../src/settings/getSchemas.js';
import { getSettingsPage } from '../../src/settings/getSettingsPage.js';
import { settingsSchema } from '../../src/settings/index.js';

const VALID_SETTINGS = {
  role: 'entry',
  vm: 'v',
  dataCentre: 'a',
  rpc: { port: 1 },
  address: '127.0.0.1:1',
  secrets: { peerFile: 'p', upstreamFile: 'u', operatorFile: 'o' },
  listen: { port: 2 },
  control: ['127.0.0.1:3'],
};

function parseSettings(changes: Record<string, unknown>) {
  return parseDocument(
    settingsSchema,
    JSON.stringify({ ...VALID_SETTINGS, ...changes }),
    'settings',
  );
}

test('missing settings get their defaults', () => {
  const settings = parseSettings({});
  assert.ok(settings.role === 'entry' && settings.limits.bodyBytes === 16 * 1024 * 1024);
});

test('an unknown field is refused', () => {
  assert.throws(() => parseSettings({ colour: 'red' }), /colour/);
});

test('the error for an invalid port names its path, the expected type and the value found', () => {
  assert.throws(
    () => parseSettings({ listen: { port: 'x' } }),
    /listen\.port: expected number, found "x"/,
  );
});

test('an address without a port is refused', () => {
  assert.throws(() => parseSettings({ address: 'here' }), /address: must be host:port/);
});

test('the schemas in docs match the code', async () => {
  for (const [file, text] of Object.entries(getSchemas())) {
    const url = new URL(`../../../../../docs/schemas/${file}`, import.meta.url);
    assert.equal(await readFile(url, 'utf8'), text, `${file}: run npm run schema`);
  }
});

test('the settings page in docs matches the code', async () => {
  const url = new URL('../../../../../docs/SETTINGS.md', import.meta.url);
  assert.equal(await readFile(url, 'utf8'), getSettingsPage());
});

test('a secret is compared with the authorization header and masked in JSON', () => {
  const secret = new Secret('abc');
  assert.ok(secret.matchesAuthorization('Bearer abc'));
  assert.ok(!secret.matchesAuthorization('Bearer abd'));
  assert.ok(!secret.matchesAuthorization(undefined));
  assert.ok(!JSON.stringify({ secret }).includes('abc'));
});
