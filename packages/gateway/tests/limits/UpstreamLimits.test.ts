import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamTable } from '@azurecart/discovery';
import { Findings } from '../../src/findings/index.js';
import { UpstreamLimits } from '../../src/limits/index.js';
import { silentLogger } from '../control/ControlCluster.js';

const ANNOUNCEMENT = {
  id: 'u',
  bornAt: 1,
  sequence: 1,
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'd',
  capacity: 8,
  state: 'ready',
} as const;

function createLimits(coldRequestsPerSecond?: number) {
  const clock = { now: 10_000 };
  const now = (): number => clock.now;
  const lines: string[] = [];
  const logger = { ...silentLogger, info: (_: object, text: string) => lines.push(text) };
  const table = new UpstreamTable({ now });
  const findings = new Findings({ now, logger: silentLogger });
  const limits = new UpstreamLimits({
    table,
    findings,
    getService: (name) => ({ name, healthPath: '/', maxConnections: 9, coldRequestsPerSecond }),
    logger: logger as unknown as typeof silentLogger,
  });
  return { clock, lines, table, findings, limits };
}

test('a cold upstream has the limit of its service until it is warm', () => {
  const { clock, table, limits } = createLimits(26);
  table.merge({ ...ANNOUNCEMENT, coldMs: 3000 });
  assert.equal(limits.getColdLimit('u'), 26);
  clock.now += 3500;
  assert.equal(limits.getColdLimit('u'), undefined);
  assert.equal(limits.getLimitIfCold('u'), 26);
});

test('a service without a limit for cold upstreams has none', () => {
  const { table, limits } = createLimits();
  table.merge({ ...ANNOUNCEMENT, coldMs: 3000 });
  assert.equal(limits.getColdLimit('u'), undefined);
  assert.equal(limits.getLimitIfCold('u'), undefined);
  assert.deepEqual(limits.getColdIds(), []);
});

test('named limits hold for warm upstreams', () => {
  const { findings, limits } = createLimits(26);
  findings.recordLimit('u', 1, 2);
  assert.equal(limits.getNamedLimit('u'), 2);
  assert.equal(limits.getColdLimit('u'), undefined);
});

test('each change between cold and warm is logged once', () => {
  const { clock, lines, table, limits } = createLimits(26);
  table.merge(ANNOUNCEMENT);
  limits.logChanges();
  assert.deepEqual(lines, []);
  table.merge({ ...ANNOUNCEMENT, sequence: 2, coldMs: 3000 });
  limits.logChanges();
  limits.logChanges();
  assert.deepEqual(lines, ['upstream is cold']);
  clock.now += 3500;
  limits.logChanges();
  assert.deepEqual(lines, ['upstream is cold', 'upstream is no longer cold']);
});
