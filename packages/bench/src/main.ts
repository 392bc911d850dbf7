/** Runs a benchmark by name, once per policy, and prints one JSON line per run. */
import { cac } from 'cac';
import type { Bench } from './Bench.js';
import { control, fair, floor, hol, longest, overhead, quorum, ranks } from './scenarios/index.js';

const BENCHES: Bench[] = [hol, ranks, floor, fair, longest, overhead, control, quorum];
const DEFAULT_SECONDS = 20;
const DEFAULT_SEED = 1;

const cli = cac('bench');
cli
  .command('[name]', 'Run a benchmark')
  .option('--list', 'List all benchmarks')
  .option('--seed <number>', 'Seed of the arrival times and prompt lengths', {
    default: DEFAULT_SEED,
  })
  .option('--seconds <number>', 'Duration of each phase in seconds', { default: DEFAULT_SECONDS })
  .option('--policy <name>', 'Run with this policy only')
  .action((name: string | undefined, options: CliOptions) => {
    run(name, options).catch((error: unknown) => {
      process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
      process.exit(1);
    });
  });
cli.help();
cli.parse();

interface CliOptions {
  list?: boolean;
  seed: number;
  seconds: number;
  policy?: string;
}

async function run(name: string | undefined, options: CliOptions): Promise<void> {
  if (options.list || name === undefined) {
    BENCHES.forEach((bench) => process.stdout.write(`${bench.name}: ${bench.summary}\n`));
    return;
  }
  const bench = BENCHES.find((candidate) => candidate.name === name);
  if (!bench) throw new Error(`unknown benchmark "${name}"; --list prints all benchmarks`);
  const { seed, seconds } = options;
  for (const policy of bench.policies) {
    if (options.policy !== undefined && options.policy !== policy) continue;
    const result = await bench.run({ policy, seed, seconds });
    process.stdout.write(`${JSON.stringify({ bench: name, policy, seed, seconds, ...result })}\n`);
  }
  process.exit(0);
}
