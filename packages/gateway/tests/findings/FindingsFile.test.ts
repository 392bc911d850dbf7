import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { FolderDisk } from '@azurecart/consensus';
import { Findings, FindingsFile } from '../../src/findings/index.js';
import { silentLogger } from '../control/ControlCluster.js';

async function withFolder(run: (folder: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'findings-'));
  try {
    await run(folder);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

/** Creates the findings of a process that has started at a monotonic time. */
async function open(folder: string, unixTime: number, monotonicTime: number) {
  const findings = new Findings({ now: () => monotonicTime, logger: silentLogger });
  const disk = await FolderDisk.open(folder);
  const file = new FindingsFile({ disk, findings, logger: silentLogger, now: () => unixTime });
  await file.load();
  return { findings, file };
}

// Guards against a restart of all processes that lets a quarantined part end engines again.
test('a quarantine outlives a restart and goes on ageing meanwhile', () =>
  withFolder(async (folder) => {
    const first = await open(folder, 1_000_000, 50_000);
    ['e', 'f', 'g', 'h'].forEach((engine) =>
      first.findings.recordCrash(engine, ['dead', engine], 50_000),
    );
    await first.file.save();
    const second = await open(folder, 1_004_000, 10);
    const verdict = second.findings.poison.judge(['dead']);
    assert.deepEqual(verdict, { kind: 'quarantined', part: 'dead', retryAfterMs: 6000 });
    assert.equal(second.findings.poison.judge(['e']).kind, 'sound');
    const third = await open(folder, 900_000, 10);
    assert.equal(third.findings.poison.judge(['dead']).kind, 'quarantined');
  }));

test('a file that cannot be read is ignored and replaced', () =>
  withFolder(async (folder) => {
    await writeFile(join(folder, 'findings'), '{"savedAt":');
    const first = await open(folder, 1, 50_000);
    ['e', 'f', 'g'].forEach((engine) => first.findings.recordCrash(engine, ['dead'], 50_000));
    await first.file.save();
    const second = await open(folder, 1, 50_000);
    assert.equal(second.findings.poison.judge(['dead']).kind, 'quarantined');
  }));
