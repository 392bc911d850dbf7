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
    sendsPriority: false,
    backends: [],
  }));
  return new RoutingTable({
    version: 1,
    routes,
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  });
}

test('getRoute selects the longest matching prefix', () => {
  const table = createTable(['/', '/a/', '/a/b/']);
  assert.equal(table.getRoute('a.example:80', '/a/b/c')?.name, '/a/b/');
  assert.equal(table.getRoute('a.example', '/a/bc')?.name, '/a/');
  assert.equal(table.getRoute('a.example', '/x')?.name, '/');
  assert.equal(table.getRoute('b.example', '/a/')?.name, undefined);
});

test('getRoute returns undefined when no prefix matches', () => {
  assert.equal(createTable(['/a/']).getRoute('a.example', '/a'), undefined);
  assert.equal(createTable(['/a/']).getRoute('a.example', ''), undefined);
});

test('getRoute agrees with a linear search over all routes', () => {
  const segment = fc.constantFrom('a', 'b', '');
  const path = fc.array(segment, { maxLength: 4 }).map((segments) => `/${segments.join('/')}`);
  const prefix = path.map((text) => (text.endsWith('/') ? text : `${text}/`));
  fc.assert(
    fc.property(fc.uniqueArray(prefix, { maxLength: 8 }), path, (prefixes, requestPath) => {
      const expected = [...prefixes]
        .sort((a, b) => b.length - a.length)
        .find((candidate) => requestPath.startsWith(candidate));
      assert.equal(createTable(prefixes).getRoute('a.example', requestPath)?.name, expected);
    }),
    { seed: 5 },
  );
});
