/** Runs the gateway under faults, checks its promises and prints a summary in JSON. */
import { cac } from 'cac';
import { CASES } from './cases.js';
import { Soak } from './Soak.js';
import type { SoakOptions } from './Soak.js';

const cli = cac('soak');
cli
  .command('', 'Run the gateway under faults and check its promises')
  .option(
    '--seed <number>',
    'Seed of the load and the faults; real processes never repeat a run exactly',
    {
      default: 1,
    },
  )
  .option('--minutes <number>', 'Time in which faults are injected, in minutes', { default: 2 })
  .option('--controls <number>', 'Number of control processes')
  .option('--entries <number>', 'Number of entry processes')
  .option('--runners <number>', 'Number of stand-in runners')
  .option('--clients <number>', 'Number of clients')
  .option('--cases', 'Run the seeds that once failed, one after another, instead')
  .action(({ cases, ...options }: SoakOptions & { cases?: boolean }) => {
    runAll(cases ? CASES : [options]).then(
      (hasPassed) => process.exit(hasPassed ? 0 : 1),
      (error: unknown) => {
        process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
        process.exit(2);
      },
    );
  });
cli.help();
cli.parse();

async function runAll(runs: readonly SoakOptions[]): Promise<boolean> {
  let hasPassed = true;
  for (const options of runs) {
    const summary = await new Soak(options).run();
    process.stdout.write(`${JSON.stringify(summary, null, 2)}\n`);
    hasPassed &&= summary.violations.length === 0;
  }
  return hasPassed;
}
