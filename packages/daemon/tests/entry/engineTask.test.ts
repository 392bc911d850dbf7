import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Registry } from 'prom-client';
import { Engine } from '@azurecart/scheduling';
import type { CommandAction, EngineState, Release } from '@azurecart/protocol';
import { createLogger, HybridClock, Invariants, Timeline } from '@azurecart/telemetry';
import { CacheIndex } from '../../src/entry/owner/CacheIndex.js';
import { EngineTask } from '../../src/entry/owner/EngineTask.js';

interface Setting {
  checksFence: boolean;
  /** Time until which an older owner's grants may start. */
  oldGrantsEndInMs?: number;
  held?: EngineState['held'];
  incarnation?: string;
  models?: EngineState['models'];
}

/** Runs the task of one engine for a while, and gets what it did. */
async function runTask(setting: Setting, runMs: number) {
  const commands: CommandAction[] = [];
  const engine = new Engine({
    id: 'e',
    address: 'http://e',
    capacity: { kvTokens: 1000, maxBatch: 4, prefillTokensPerSecond: 1, decodeStepMs: 1 },
  });
  const timeline = new Timeline({ process: 'p', vm: 'v', clock: new HybridClock() });
  const release = {
    pools: [{ name: 'p', checksFence: setting.checksFence }],
    models: [{ name: 'm', version: '1', pool: 'p', adapters: [] }],
  } as unknown as Release;
  const state: EngineState = {
    incarnation: setting.incarnation ?? 'one',
    fence: 0,
    leaving: false,
    models: setting.models ?? [],
    held: setting.held ?? [],
    cache: { sequence: 0, prefixes: [] },
  };
  const client = {
    getState: async () => state,
    send: async (_address: string, _fence: number, action: CommandAction) => {
      commands.push(action);
    },
  };
  const task = new EngineTask({
    engine,
    incarnation: 'one',
    pool: 'p',
    fence: 7,
    client: client as never,
    cache: new CacheIndex(),
    oldGrantsEndAt: performance.now() + (setting.oldGrantsEndInMs ?? 0),
    getRelease: () => release,
    isOwner: () => true,
    hasLead: () => false,
    isSessionOpen: () => true,
    acquireLoad: async () => true,
    releaseLoad: async () => undefined,
    onChange: () => undefined,
    timeline,
    invariants: new Invariants({ registry: new Registry(), timeline }),
    logger: createLogger({ name: 'test', vm: 'v', level: 'fatal' }),
  });
  const running = task.run();
  await sleep(runMs);
  const wasReady = engine.isReady;
  task.stop();
  await running;
  return { wasReady, commands, engine };
}

const LOADED = [{ name: 'm', version: '1', adapters: [] }];

test('the fence is raised before anything else', async () => {
  const { commands } = await runTask({ checksFence: true }, 50);
  assert.equal(commands[0]?.kind, 'raise-fence');
});

test('an engine that checks fencing is ready at once', async () => {
  const setting = { checksFence: true, oldGrantsEndInMs: 60_000 };
  assert.ok((await runTask(setting, 50)).wasReady);
});

test('an engine that ignores fencing waits for older grants', async () => {
  const setting = { checksFence: false, oldGrantsEndInMs: 60_000 };
  assert.ok(!(await runTask(setting, 50)).wasReady);
  assert.ok((await runTask({ checksFence: false }, 50)).wasReady);
});

test('a missing model is loaded, a withdrawn one unloaded', async () => {
  const models = [{ name: 'gone', version: '1', adapters: [] }];
  const { commands } = await runTask({ checksFence: true, models }, 50);
  assert.deepEqual(
    commands.map(({ kind }) => kind),
    ['raise-fence', 'unload', 'load'],
  );
});

test('a withdrawn model in use is not unloaded', async () => {
  const models = [...LOADED, { name: 'gone', version: '1', adapters: [] }];
  const held = [{ request: 'x', tokens: 10, fence: 1, leads: true }];
  const { commands } = await runTask({ checksFence: true, models, held }, 50);
  assert.ok(!commands.some(({ kind }) => kind === 'unload'));
});

test('memory held for a prompt that nobody leads is cancelled after a while', async () => {
  const held = [{ request: 'x', tokens: 10, fence: 1, leads: false }];
  const early = await runTask({ checksFence: true, models: LOADED, held }, 50);
  assert.ok(!early.commands.some(({ kind }) => kind === 'cancel'));
  const late = await runTask({ checksFence: true, models: LOADED, held }, 2600);
  assert.ok(late.commands.some(({ kind }) => kind === 'cancel'));
});

test('an engine that has started anew is given up', async () => {
  const { wasReady, commands } = await runTask({ checksFence: true, incarnation: 'two' }, 50);
  assert.ok(!wasReady);
  assert.equal(commands.length, 1);
});
