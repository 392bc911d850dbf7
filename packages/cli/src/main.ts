#!/usr/bin/env node
/** The operators' command line. */
import { cac } from 'cac';
import type { Command } from 'cac';
import { CommandFault, ExitCode } from './CommandFault.js';
import {
  checkRelease,
  diffRelease,
  drainVm,
  removeMember,
  showStatus,
  showTimeline,
  submitRelease,
} from './commands/index.js';

const WAIT_SECONDS = 30;
const EXIT_CODES = [
  'Exit codes:',
  '  0  done',
  '  1  failed',
  '  2  the document does not fit its schema',
  '  3  refused: another release has the number, or it does not follow the latest',
  '  4  accepted, but not in force everywhere in time',
];

const cli = cac('azurecart');

addControlOptions(cli.command('check <file>', 'Check a release file'))
  .example('  azurecart check release.json')
  .action(guard(checkRelease));

addControlOptions(cli.command('diff <file>', 'Show what a release file would change'))
  .example('  azurecart diff release.json --control 127.0.0.1:7101 --secret operator.secret')
  .action(guard(diffRelease));

addControlOptions(cli.command('submit <file>', 'Submit a release'))
  .option('--operator <name>', 'Who submits; the user name when absent')
  .option('--wait <state>', 'accepted, or in-force (everywhere)', { default: 'in-force' })
  .option('--timeout <seconds>', 'Longest wait', { default: WAIT_SECONDS })
  .example('  azurecart submit release.json --wait in-force --timeout 20')
  .action(guard(submitRelease));

addControlOptions(cli.command('status', 'Show members, VMs, shard owners and the release'))
  .example('  azurecart status --json')
  .action(guard(showStatus));

addControlOptions(cli.command('drain <vm>', 'Give a VM no shards any more'))
  .option('--undo', 'Take the mark away')
  .example('  azurecart drain entry-1')
  .action(guard(drainVm));

addControlOptions(cli.command('remove-member <id>', 'Remove a control member for good'))
  .example('  azurecart remove-member 3c0e8a52-6f0e-4b51-9d8e-0c2d1f4a7b11')
  .action(guard(removeMember));

addControlOptions(
  cli.command('timeline [...sources]', 'Merge time lines of files and running processes'),
)
  .option('--request <id>', 'Only events of a request')
  .option('--upstream <id>', 'Only events of an upstream')
  .option('--release <number>', 'Only events of a release')
  .option('--vm <name>', 'Only events of a VM')
  .option('--html <file>', 'Write a self-contained HTML page')
  .example('  azurecart timeline http://127.0.0.1:7201 http://127.0.0.1:7202 --request req-1')
  .example('  azurecart timeline *.timeline.jsonl --html timeline.html')
  .action(guard(showTimeline));

cli.help((sections) => [...sections, { body: EXIT_CODES.join('\n') }]);
cli.version('0.1.0');

try {
  cli.parse();
  const isUnknown = !cli.matchedCommand && !cli.options.help && !cli.options.version;
  if (isUnknown && cli.args.length === 0) cli.outputHelp();
  else if (isUnknown) fail(new CommandFault(`no command ${cli.args.join(' ')}; see --help`));
} catch (error) {
  fail(error);
}

/** Adds the options that all commands have. */
function addControlOptions(command: Command): Command {
  return command
    .option('--control <addresses>', 'Control processes host:port,... (AZURECART_CONTROL)')
    .option('--secret <file>', "File with the operators' secret (AZURECART_SECRET_FILE)")
    .option('--ca <file>', 'PEM file of the certificate authority, when control uses TLS')
    .option('--json', 'Print JSON');
}

/** Makes a command end the process with a clear message when it fails. */
function guard<T extends unknown[]>(run: (...values: T) => Promise<void>) {
  return (...values: T): void => {
    run(...values).catch(fail);
  };
}

function fail(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`azurecart: ${message}\n`);
  process.exitCode = error instanceof CommandFault ? error.exitCode : ExitCode.failed;
}
