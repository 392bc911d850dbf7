import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { parseDocument } from '@azurecart/protocol';
import { Secret } from '../../src/secrets/index.js';
import { getSchemas } from '../../src/settings/getSchemas.js';
import { getSettingsPage } from '../../src/settings/getSettingsPage.js';
import { settingsSchema } from '../../src/settings/index.js';

const GOOD = {
  role: 'entry',
  vm: 'v',
  dataCentre: 'a',
  rpc: { port: 1 },
  address: '127.0.0.1:1',
  secrets: { peerFile: 'p', upstreamFile: 'u', operatorFile: 'o' },
  listen: { port: 2 },
  control: ['127.0.0.1:3'],
};

function parse(changes: Record<string, unknown>) {
  return parseDocument(settingsSchema, JSON.stringify({ ...GOOD, ...changes }), 'settings');
}

test('defaults are filled in', () => {
  const settings = parse({});
  assert.ok(settings.role === 'entry' && settings.limits.bodyBytes === 16 * 1024 * 1024);
});

test('an unknown field is refused', () => {
  assert.throws(() => parse({ colour: 'red' }), /colour/);
});

test('a wrong port names path and found value', () => {
  assert.throws(() => parse({ listen: { port: 'x' } }), /listen\.port: expected number, found "x"/);
});

test('an address without a port is refused', () => {
  assert.throws(() => parse({ address: 'here' }), /address: must be host:port/);
});

test('the committed schemas are those of the code', async () => {
  for (const [file, text] of Object.entries(getSchemas())) {
    const url = new URL(`../../../../../docs/schemas/${file}`, import.meta.url);
    assert.equal(await readFile(url, 'utf8'), text, `${file}: run npm run schema`);
  }
});

test('the committed page of settings is that of the code', async () => {
  const url = new URL('../../../../../docs/SETTINGS.md', import.meta.url);
  assert.equal(await readFile(url, 'utf8'), getSettingsPage());
});

test('a secret is compared and never shown', () => {
  const secret = new Secret('abc');
  assert.ok(secret.isPresentedBy('Bearer abc'));
  assert.ok(!secret.isPresentedBy('Bearer abd'));
  assert.ok(!secret.isPresentedBy(undefined));
  assert.ok(!JSON.stringify({ secret }).includes('abc'));
});
