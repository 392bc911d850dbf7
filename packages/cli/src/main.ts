#!/usr/bin/env node
/** Command-line interface for operators. */
import { cac } from 'cac';
import type { Command } from 'cac';
import { CommandError, ExitCode } from './CommandError.js';
import {
  checkRelease,
  diffRelease,
  drainVm,
  removeMember,
  showStatus,
  showTimeline,
  submitRelease,
} from './commands/index.js';

const DEFAULT_WAIT_TIMEOUT_SECONDS = 30;
const EXIT_CODES = [
  'Exit codes:',
  '  0  done',
  '  1  failed',
  '  2  the release file is invalid',
  '  3  refused: the number is used by another release, or does not follow the latest',
  '  4  accepted, but not in force everywhere before the timeout',
];

const cli = cac('azurecart');

addControlOptions(cli.command('check <file>', 'Validate a release file'))
  .example('  azurecart check release.json')
  .action(handleErrors(checkRelease));

addControlOptions(cli.command('diff <file>', 'Show what a release file would change'))
  .example('  azurecart diff release.json --control 127.0.0.1:7101 --secret operator.secret')
  .action(handleErrors(diffRelease));

addControlOptions(cli.command('submit <file>', 'Submit a release'))
  .option('--operator <name>', 'Name of the operator; the user name by default')
  .option('--wait <state>', 'State to wait for: accepted, or in-force (everywhere)', {
    default: 'in-force',
  })
  .option('--timeout <seconds>', 'Maximum time to wait', { default: DEFAULT_WAIT_TIMEOUT_SECONDS })
  .example('  azurecart submit release.json --wait in-force --timeout 20')
  .action(handleErrors(submitRelease));

addControlOptions(cli.command('status', 'Show members, VMs, shard owners and the release'))
  .example('  azurecart status --json')
  .action(handleErrors(showStatus));

addControlOptions(
  cli.command('drain <vm>', 'Move the shards of a VM to other VMs and assign it none'),
)
  .option('--undo', 'Allow the VM to be assigned shards again')
  .example('  azurecart drain entry-1')
  .action(handleErrors(drainVm));

addControlOptions(cli.command('remove-member <id>', 'Permanently remove a control member'))
  .example('  azurecart remove-member 3c0e8a52-6f0e-4b51-9d8e-0c2d1f4a7b11')
  .action(handleErrors(removeMember));

addControlOptions(
  cli.command('timeline [...sources]', 'Merge timelines of files and running processes'),
)
  .option('--request <id>', 'Only events of requests whose id starts with this')
  .option('--upstream <id>', 'Only events of an upstream')
  .option('--release <number>', 'Only events of a release')
  .option('--vm <name>', 'Only events of a VM')
  .option('--html <file>', 'Write a self-contained HTML page')
  .example('  azurecart timeline http://127.0.0.1:7201 http://127.0.0.1:7202 --request req-1')
  .example('  azurecart timeline *.timeline.jsonl --html timeline.html')
  .action(handleErrors(showTimeline));

cli.help((sections) => [...sections, { body: EXIT_CODES.join('\n') }]);
cli.version('0.1.0');

try {
  cli.parse();
  const isUnmatched = !cli.matchedCommand && !cli.options.help && !cli.options.version;
  if (isUnmatched && cli.args.length === 0) cli.outputHelp();
  else if (isUnmatched)
    reportError(new CommandError(`no command ${cli.args.join(' ')}; see --help`));
} catch (error) {
  reportError(error);
}

/** Adds the options common to all commands. */
function addControlOptions(command: Command): Command {
  return command
    .option('--control <addresses>', 'Control processes host:port,... (AZURECART_CONTROL)')
    .option('--secret <file>', "File with the operators' secret (AZURECART_SECRET_FILE)")
    .option('--ca <file>', 'PEM file of the certificate authority, when control uses TLS')
    .option('--json', 'Print JSON');
}

/** Wraps a command so that a failure prints its message and sets the exit code. */
function handleErrors<T extends unknown[]>(run: (...values: T) => Promise<void>) {
  return (...values: T): void => {
    run(...values).catch(reportError);
  };
}

function reportError(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`azurecart: ${message}\n`);
  process.exitCode = error instanceof CommandError ? error.exitCode : ExitCode.failed;
}
