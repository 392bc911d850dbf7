/** Runs a bench by name, once for each policy, and prints one JSON line for each. */
import { cac } from 'cac';
import type { Bench } from './Bench.js';
import { control, fair, floor, hol, longest, overhead, quorum, ranks } from './scenarios/index.js';

const BENCHES: Bench[] = [hol, ranks, floor, fair, longest, overhead, control, quorum];
const SECONDS = 20;
const SEED = 1;

const cli = cac('bench');
cli
  .command('[name]', 'Run a bench')
  .option('--list', 'Name all benches')
  .option('--seed <number>', 'Seed of arrivals and lengths', { default: SEED })
  .option('--seconds <number>', 'Length of each phase', { default: SECONDS })
  .option('--policy <name>', 'Only this policy')
  .action((name: string | undefined, options: Options) => {
    run(name, options).catch((error: unknown) => {
      process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
      process.exit(1);
    });
  });
cli.help();
cli.parse();

interface Options {
  list?: boolean;
  seed: number;
  seconds: number;
  policy?: string;
}

async function run(name: string | undefined, options: Options): Promise<void> {
  if (options.list || name === undefined) {
    BENCHES.forEach((bench) => process.stdout.write(`${bench.name}: ${bench.summary}\n`));
    return;
  }
  const bench = BENCHES.find((each) => each.name === name);
  if (!bench) throw new Error(`no bench ${name}; --list names all`);
  const { seed, seconds } = options;
  for (const policy of bench.policies) {
    if (options.policy !== undefined && options.policy !== policy) continue;
    const result = await bench.run({ policy, seed, seconds });
    process.stdout.write(`${JSON.stringify({ bench: name, policy, seed, seconds, ...result })}\n`);
  }
  process.exit(0);
}
