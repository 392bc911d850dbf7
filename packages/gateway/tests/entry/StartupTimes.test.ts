import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Registry } from 'prom-client';
import { StartupTimes } from '../../src/entry/StartupTimes.js';
import { silentLogger } from '../control/ControlCluster.js';

test('the first time of each phase is kept', async () => {
  const registry = new Registry();
  let now = 300;
  const times = new StartupTimes({ registry, logger: silentLogger, now: () => now });
  times.record('listening');
  now = 800;
  times.record('listening');
  times.record('firstAnswer');
  const text = await registry.metrics();
  assert.match(text, /startup_seconds\{phase="listening"\} 0.3\n/);
  assert.match(text, /startup_seconds\{phase="firstAnswer"\} 0.8\n/);
  assert.doesNotMatch(text, /configuration/);
});
