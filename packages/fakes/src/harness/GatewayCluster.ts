import { mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { ChildProcess } from './ChildProcess.js';
import { getFreePorts } from './getFreePorts.js';

/** Options of a {@link GatewayCluster}. */
export interface GatewayClusterOptions {
  folder: string;
  controls: number;
  entries: number;
  dataCentres: string[];
  graceSeconds: number;
  retryRatio: number;
  retryWindowSeconds: number;
  retryExtra: number;
}

/** A process of the gateway and its addresses. */
export interface GatewayProcess {
  name: string;
  dataCentre: string;
  child: ChildProcess;
  /** Address for operators and runners, or for clients. */
  address: string;
  /** Address of the readiness check; empty for control processes. */
  readiness: string;
  dataFolder: string;
  /** Increases with each start. */
  lifetime: number;
}

const SCRIPT = join(process.cwd(), 'packages/daemon/dist/src/gateway/main.js');
/** Loopback addresses are `127.<network>.<role>.<index>`; several clusters may run at a time. */
const NETWORK = 8 + (process.pid % 240);
const CONTROL_ROLE = 1;
const ENTRY_ROLE = 2;
const OTHER_ROLE = 3;
/** Address for everything else of a run, which other programs on the machine do not use. */
export const OTHER_HOST = getHost(OTHER_ROLE, 0);

/** Control and entry processes of the gateway on loopback, with settings files. */
export class GatewayCluster {
  readonly controls: GatewayProcess[] = [];

  readonly entries: GatewayProcess[] = [];

  private seeds: string[] = [];

  private linkPort = 0;

  private isFirstStart = true;

  constructor(private readonly options: GatewayClusterOptions) {}

  /** Starts all processes for the first time. */
  async start(): Promise<void> {
    const { folder, controls, entries, dataCentres } = this.options;
    await mkdir(folder, { recursive: true });
    const [linkPort = 0, operatorPort = 0, frontPort = 0, readyPort = 0] = await getFreePorts(4);
    this.linkPort = linkPort;
    const create = (role: string, index: number, address: string, readiness = '') => {
      const name = `${role}-${index}`;
      const child = new ChildProcess({
        name,
        script: SCRIPT,
        arguments: ['--settings', join(folder, `${name}.json`)],
        logFile: join(folder, `${name}.log`),
      });
      const dataCentre = dataCentres[index % dataCentres.length] ?? '';
      const dataFolder = join(folder, `${name}-data`);
      return { name, dataCentre, child, address, readiness, dataFolder, lifetime: 0 };
    };
    for (let index = 0; index < controls; index += 1)
      this.controls.push(
        create('control', index, `${getHost(CONTROL_ROLE, index)}:${operatorPort}`),
      );
    for (let index = 0; index < entries; index += 1) {
      const host = getHost(ENTRY_ROLE, index);
      this.entries.push(create('entry', index, `${host}:${frontPort}`, `${host}:${readyPort}`));
    }
    this.seeds = this.controls.map(({ address }) => address);
    for (const each of [...this.controls, ...this.entries]) await this.startProcess(each);
    this.isFirstStart = false;
  }

  /** Starts a process that isn't running, with the current settings. */
  async startProcess(target: GatewayProcess): Promise<void> {
    await this.writeSettings(target);
    Object.assign(target, { lifetime: target.lifetime + 1 });
    target.child.start();
  }

  /** Writes a settings file with some of the seeds; a running process reads it on SIGHUP or polling. */
  async changeSeeds(target: GatewayProcess, indexes: number[]): Promise<void> {
    const seeds = indexes.flatMap((index) => this.controls[index]?.address ?? []);
    await this.writeSettings(target, seeds);
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    await Promise.all([...this.controls, ...this.entries].map(({ child }) => child.kill()));
  }

  /** Gets the log lines of the entry processes that contain one of the texts. */
  async findLogLines(texts: string[]): Promise<string[]> {
    const { folder } = this.options;
    const logs = await Promise.all(
      this.entries.map(({ name }) => readFile(join(folder, `${name}.log`), 'utf8')),
    );
    return logs
      .flatMap((log) => log.split('\n'))
      .filter((line) => texts.some((text) => line.includes(text)));
  }

  async removeFolder(): Promise<void> {
    await rm(this.options.folder, { recursive: true, force: true });
  }

  private async writeSettings(target: GatewayProcess, seeds = this.seeds): Promise<void> {
    const { folder, controls, graceSeconds, retryRatio, retryWindowSeconds, retryExtra } =
      this.options;
    const isControl = this.controls.includes(target);
    const common = {
      vm: target.name,
      host: target.address.split(':')[0],
      dataCentre: target.dataCentre,
      linkPort: this.linkPort,
      seeds,
    };
    const settings = isControl
      ? {
          role: 'control',
          operators: target.address,
          dataFolder: target.dataFolder,
          isFirstStart: this.isFirstStart,
          toleratedLosses: Math.floor((controls - 1) / 2),
        }
      : {
          role: 'entry',
          front: target.address,
          readiness: target.readiness,
          memoryMb: 200,
          graceSeconds,
          retryRatio,
          retryWindowSeconds,
          retryExtra,
        };
    await writeFile(
      join(folder, `${target.name}.json`),
      JSON.stringify({ ...common, ...settings }),
    );
  }
}

function getHost(role: number, index: number): string {
  return `127.${NETWORK}.${role}.${index + 1}`;
}
