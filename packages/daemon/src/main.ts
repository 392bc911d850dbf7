#!/usr/bin/env node
/** Command line of the daemon: runs the role given in the settings. */
import { readFileSync } from 'node:fs';
import { cac } from 'cac';
import { ValidationError } from '@azurecart/protocol';
import { ControlProcess } from './control/index.js';
import { EntryProcess } from './entry/index.js';
import { loadSettings } from './settings/index.js';
import type { Settings } from './settings/index.js';

/** Process role that can be started and stopped. */
interface Role {
  start(): Promise<void>;
  stop(): Promise<void>;
}

const VERSION = getVersion();

const cli = cac('azurecartd');
cli
  .command('', 'Run a process of the system')
  .option('--settings <file>', 'JSON file with the settings of the process')
  .option('--check', 'Only check the settings, then exit')
  .example('  azurecartd --settings /etc/azurecart/entry.json')
  .example('  azurecartd --settings /etc/azurecart/entry.json --check')
  .action((options: { settings?: string; check?: boolean }) => {
    run(options).catch(fail);
  });
cli.help();
cli.version(VERSION);
cli.parse();

async function run(options: { settings?: string; check?: boolean }): Promise<void> {
  if (!options.settings) throw new Error('--settings FILE is needed; see --help');
  const settings = await loadSettings(options.settings);
  if (options.check) {
    process.stdout.write(`${options.settings}: settings of role ${settings.role} are good\n`);
    return;
  }
  const role = createRole(settings);
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) return;
    isStopping = true;
    role.stop().then(() => process.exit(0), fail);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await role.start();
}

function createRole(settings: Settings): Role {
  return settings.role === 'entry' ? new EntryProcess(settings) : new ControlProcess(settings);
}

function fail(error: unknown): never {
  const isExpected = error instanceof ValidationError;
  const text = isExpected || !(error instanceof Error) ? String(error) : error.stack;
  process.stderr.write(`azurecartd: ${text}\n`);
  process.exit(1);
}

function getVersion(): string {
  const file = new URL('../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
}
