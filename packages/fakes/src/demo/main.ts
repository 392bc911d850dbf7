/** Runs a demo of the system with fake upstreams on the local machine until it is interrupted. */
import { join } from 'node:path';
import { Fleet, getSampleRelease } from '../harness/index.js';

const DATA_FOLDER = join(process.cwd(), '.data', 'demo');
const CONTROL_PORTS = [7101, 7111, 7102, 7112, 7103, 7113];
const ENTRY_PORTS = [7201, 7211, 7202, 7212];
const ENGINE_PORT = 7301;
const SERVICE_PORT = 7401;
const DATA_CENTRES = ['trnava-a', 'trnava-b', 'trnava-c'];
const ENGINES = 4;

const fleet = new Fleet({
  folder: DATA_FOLDER,
  dataCentres: DATA_CENTRES,
  controls: 3,
  entries: 2,
  ports: [...CONTROL_PORTS, ...ENTRY_PORTS],
});

async function start(): Promise<void> {
  await fleet.start();
  for (let index = 0; index < ENGINES; index += 1) {
    fleet.startUpstreams([
      {
        kind: 'engine',
        id: `engine-${index}`,
        pool: 'fitting-assist',
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
        port: ENGINE_PORT + index,
        gapRate: 0.1,
      },
    ]);
  }
  fleet.startUpstreams([
    {
      kind: 'service',
      id: 'work-orders-0',
      pool: 'work-orders',
      dataCentre: DATA_CENTRES[0],
      port: SERVICE_PORT,
    },
  ]);
  const response = await fleet.submit(getSampleRelease(), 'demo');
  if (!response.accepted) throw new Error(response.reason);
  await fleet.waitForReadyEngines('fitting-assist', ENGINES);
  printUsage();
}

function printUsage(): void {
  const lines = [
    'azurecart is up.',
    ...fleet.entries.map(({ vm, url }) => `  ${vm}: ${url}`),
    ...fleet.controls.map(({ vm, url }) => `  ${vm}: ${url}`),
    `  settings, logs and timelines: ${DATA_FOLDER}`,
    '  API keys: key-dispatch (urgent), key-planning (standard), key-engineering (batch)',
    'Try:',
    `  curl -N ${fleet.entries[0]?.url}/v1/chat/completions -H 'authorization: Bearer key-dispatch' \\`,
    '    -H \'content-type: application/json\' -d \'{"model":"fitting-assist","stream":true,' +
      '"max_tokens":8,"messages":[{"role":"user","content":"Which gasket fits valve 12?"}]}\'',
    'Press Ctrl-C to stop all processes.',
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

let isStopping = false;

async function stop(code: number): Promise<void> {
  if (isStopping) return;
  isStopping = true;
  await fleet.stop();
  process.exit(code);
}

process.on('SIGINT', () => {
  stop(0).catch(() => process.exit(1));
});
process.on('SIGTERM', () => {
  stop(0).catch(() => process.exit(1));
});

start().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  stop(1).catch(() => process.exit(1));
});
