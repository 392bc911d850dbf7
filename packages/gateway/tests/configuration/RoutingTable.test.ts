import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RoutingTable } from '../../src/configuration/index.js';
import type { Route } from '../../src/configuration/index.js';

function createTable(prefixes: string[]): RoutingTable {
  const routes = prefixes.map((pathPrefix): Route => ({
    name: pathPrefix,
    host: 'A.example',
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1000,
    objectiveMs: 100,
    pauseMs: 100,
    priority: 0,
    maxAttempts: 1,
    isPublic: true,
    isResumable: false,
    hasPrompt: false,
    backends: [],
  }));
  return new RoutingTable({
    version: 1,
    routes,
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  });
}

test('the longest prefix that begins the path is taken', () => {
  const table = createTable(['/', '/a/', '/a/b/']);
  assert.equal(table.getRoute('a.example:80', '/a/b/c')?.name, '/a/b/');
  assert.equal(table.getRoute('a.example', '/a/bc')?.name, '/a/');
  assert.equal(table.getRoute('a.example', '/x')?.name, '/');
  assert.equal(table.getRoute('b.example', '/a/')?.name, undefined);
});

test('a path of no route has none', () => {
  assert.equal(createTable(['/a/']).getRoute('a.example', '/a'), undefined);
  assert.equal(createTable(['/a/']).getRoute('a.example', ''), undefined);
});

test('a lookup finds what a search over all routes finds', () => {
  const part = fc.constantFrom('a', 'b', '');
  const path = fc.array(part, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`);
  const prefix = path.map((text) => (text.endsWith('/') ? text : `${text}/`));
  fc.assert(
    fc.property(fc.uniqueArray(prefix, { maxLength: 8 }), path, (prefixes, wanted) => {
      const expected = [...prefixes]
        .sort((a, b) => b.length - a.length)
        .find((each) => wanted.startsWith(each));
      assert.equal(createTable(prefixes).getRoute('a.example', wanted)?.name, expected);
    }),
    { seed: 5 },
  );
});
