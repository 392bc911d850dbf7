/**
 * Command line of the gateway: runs its processes with the adapter for the HTTP protocol of the
 * platform (`@azurecart/platform`).
 */
import { cac } from 'cac';
import { ControlNode, EntryNode, SettingsFile } from '@azurecart/gateway';
import type { GatewaySettings } from '@azurecart/gateway';
import {
  PlatformConfigurationCodec,
  PlatformControlProtocol,
  PlatformEntryProtocol,
} from '@azurecart/platform';
import { BoundedOutput, createLogger } from '@azurecart/telemetry';
import type { Logger } from '@azurecart/telemetry';

/** Process role that can be started, stopped and given new settings. */
interface Role {
  start(): Promise<void>;
  stop(): Promise<void>;
  reload(settings: GatewaySettings): void;
}

/** Environment variable with the path of the settings file, used without `--settings`. */
const SETTINGS_VARIABLE = 'AZURECART_BOOT';

const cli = cac('azurecart-gateway');
cli
  .command('', 'Run an entry or a control process of the gateway')
  .option('--settings <file>', `JSON file with the settings; default: $${SETTINGS_VARIABLE}`)
  .option('--check', 'Only check the settings, then exit')
  .action((options: { settings?: string; check?: boolean }) => {
    run(options).catch(fail);
  });
cli.help();
cli.parse();

async function run(options: { settings?: string; check?: boolean }): Promise<void> {
  const path = options.settings ?? process.env[SETTINGS_VARIABLE];
  if (!path) throw new Error('--settings FILE or AZURECART_BOOT is needed; see --help');
  const file = new SettingsFile(path);
  const settings = await file.load();
  if (options.check) {
    process.stdout.write(`${path}: settings of role ${settings.role} are good\n`);
    return;
  }
  const output = new BoundedOutput();
  const { role: name, vm, logLevel: level } = settings;
  const logger = createLogger({ name, vm, level, output });
  const role = createRole(settings, logger);
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) return;
    isStopping = true;
    role
      .stop()
      .then(() => output.flush())
      .then(() => process.exit(0), fail);
  };
  // The handler stays registered, so that a repeated signal does not end the process at once.
  process.on('SIGTERM', stop);
  process.once('SIGINT', stop);
  await role.start();
  file.watch(logger);
  file.changes.subscribe((changed) => role.reload(changed));
}

function createRole(settings: GatewaySettings, logger: Logger): Role {
  const codec = new PlatformConfigurationCodec();
  if (settings.role === 'entry') {
    const node = new EntryNode({ settings, protocol: new PlatformEntryProtocol(), codec, logger });
    return {
      start: () => node.start(),
      stop: () => node.stop(),
      reload: (changed) => changed.role === 'entry' && node.reload(changed),
    };
  }
  const node = new ControlNode({
    settings,
    codec,
    protocol: new PlatformControlProtocol(),
    logger,
  });
  return {
    start: () => node.start(),
    stop: () => node.stop(),
    reload: (changed) => changed.role === 'control' && node.reload(changed),
  };
}

function fail(error: unknown): never {
  process.stderr.write(
    `azurecart-gateway: ${error instanceof Error ? error.stack : String(error)}\n`,
  );
  process.exit(1);
}
