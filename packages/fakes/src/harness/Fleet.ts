import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { Client } from '@connectrpc/connect';
import { ControlClient, RpcClients, RpcContext, Secret } from '@azurecart/daemon';
import type { ControlService, StatusResponse } from '@azurecart/protocol';
import { HybridClock } from '@azurecart/telemetry';
import { ChildProcess } from './ChildProcess.js';
import { getFreePorts } from './getFreePorts.js';
import { Relay } from './Relay.js';

/** What a fleet is made of. */
export interface FleetOptions {
  folder: string;
  dataCentres: string[];
  controls: number;
  entries: number;
  /** Ports in the order control rpc, control admin, entry listen, entry rpc; free ones if absent. */
  ports?: number[];
  /** Puts a relay before the rpc listener of each process. */
  hasRelays?: boolean;
  /** Settings added to those of every entry process. */
  entrySettings?: Record<string, unknown>;
  /** Settings added to those of every control process. */
  controlSettings?: Record<string, unknown>;
}

/** A control or entry process with its addresses. */
export interface FleetMember {
  vm: string;
  process: ChildProcess;
  rpc: string;
  url: string;
  dataFolder: string;
  /** Relay through which others reach the process. */
  relay: Relay | undefined;
}

/** Secret of the fake upstreams. */
export const UPSTREAM_SECRET = 'upstream-secret';
const PEER_SECRET = 'peer-secret';
/** Secret of the operators of a fleet. */
export const OPERATOR_SECRET = 'operator-secret';
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** Processes of the system and of fake upstreams on this machine. */
export class Fleet {
  readonly controls: FleetMember[] = [];

  readonly entries: FleetMember[] = [];

  readonly upstreams: ChildProcess[] = [];

  private readonly clients = new RpcClients(
    new RpcContext({ secret: new Secret(PEER_SECRET), clock: new HybridClock() }),
  );

  private control: ControlClient | undefined;

  constructor(private readonly options: FleetOptions) {}

  get entryUrls(): string[] {
    return this.entries.map((entry) => entry.url);
  }

  /** Writes settings and secrets, starts all processes and waits until a leader answers. */
  async start(): Promise<void> {
    await rm(this.options.folder, { recursive: true, force: true });
    await mkdir(this.options.folder, { recursive: true });
    await this.writeSecrets();
    await this.writeSettings();
    [...this.controls, ...this.entries].forEach((member) => member.process.start());
    this.control = new ControlClient(
      this.clients,
      this.controls.map((member) => member.rpc),
    );
    await this.getStatus();
  }

  /** Starts fake upstreams in one process. */
  startUpstreams(settings: Record<string, unknown>[]): ChildProcess {
    const complete = settings.map((each) => ({
      secret: UPSTREAM_SECRET,
      entries: this.entryUrls,
      ...each,
    }));
    const name = `upstreams-${this.upstreams.length}`;
    const child = new ChildProcess({
      name,
      script: fileURLToPath(new URL('./upstreamMain.js', import.meta.url)),
      arguments: [JSON.stringify(complete)],
      logFile: this.getPath(`${name}.log`),
    });
    child.start();
    this.upstreams.push(child);
    return child;
  }

  /** Submits a release and waits until it is accepted. */
  async submit(release: Record<string, unknown>, operator = 'harness') {
    const request = { release: JSON.stringify(release), operator };
    return this.callControl((client, options) => client.submit(request, options));
  }

  async getStatus(): Promise<StatusResponse> {
    return this.callControl((client, options) => client.status({}, options));
  }

  /** Makes a call to the control leader. */
  async callControl<T>(operation: ControlOperation<T>, timeoutMs = READY_TIMEOUT_MS): Promise<T> {
    if (!this.control) throw new Error('the fleet has not been started');
    return this.control.call(operation, { timeoutMs });
  }

  /** Waits until every entry process is ready and serves a model. */
  async waitForModel(model: string, engines = 1): Promise<void> {
    const endAt = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endAt) {
      const loads = await Promise.all(this.entries.map((entry) => getEngineCount(entry)));
      const total = loads.reduce((sum, count) => sum + count, 0);
      if (total >= engines && (await this.areReady())) {
        await sleep(1000);
        return;
      }
      await sleep(POLL_MS);
    }
    throw new Error(`no entry process serves ${model}`);
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map((member) => member.process.stop()));
    await Promise.all(this.controls.map((member) => member.process.stop()));
    await Promise.all(this.upstreams.map((child) => child.stop()));
    await Promise.all([...this.controls, ...this.entries].map(({ relay }) => relay?.stop()));
    this.clients.close();
  }

  getPath(name: string): string {
    return join(this.options.folder, name);
  }

  private async areReady(): Promise<boolean> {
    const answers = await Promise.all(
      this.entries.map(async ({ url }) => {
        const response = await fetch(`${url}/readyz`).catch(() => undefined);
        return response?.ok ?? false;
      }),
    );
    return answers.every(Boolean);
  }

  private async writeSecrets(): Promise<void> {
    await writeFile(this.getPath('peer.secret'), PEER_SECRET);
    await writeFile(this.getPath('upstream.secret'), UPSTREAM_SECRET);
    await writeFile(this.getPath('operator.secret'), OPERATOR_SECRET);
  }

  private async writeSettings(): Promise<void> {
    const { controls, entries } = this.options;
    const ports = this.options.ports ?? (await getFreePorts(3 * (controls + entries)));
    const next = (): number => ports.shift() ?? 0;
    const nextAddress = (rpc: number): number => (this.options.hasRelays ? next() : rpc);
    const controlPorts = Array.from({ length: controls }, () => {
      const rpc = next();
      const admin = next();
      return { rpc, admin, reached: nextAddress(rpc) };
    });
    const members = controlPorts.map(({ reached }, index) => ({
      name: `control-${index}`,
      address: `127.0.0.1:${reached}`,
    }));
    for (const [index, { rpc, admin, reached }] of controlPorts.entries()) {
      const vm = `control-${index}`;
      const dataFolder = this.getPath(vm);
      const settings = {
        role: 'control',
        ...this.getCommon(vm, index, rpc, reached),
        admin: { port: admin },
        members,
        dataFolder,
        dataCentres: this.options.dataCentres,
        ...this.options.controlSettings,
      };
      const addresses = { rpc, reached, port: admin };
      this.controls.push(await this.addMember(vm, settings, addresses, dataFolder));
    }
    const control = members.map((member) => member.address);
    for (let index = 0; index < entries; index += 1) {
      const vm = `entry-${index}`;
      const [port, rpc] = [next(), next()];
      const reached = nextAddress(rpc);
      const settings = {
        role: 'entry',
        ...this.getCommon(vm, index, rpc, reached),
        listen: { port },
        control,
        ...this.options.entrySettings,
      };
      this.entries.push(await this.addMember(vm, settings, { rpc, reached, port }, ''));
    }
  }

  private getCommon(
    vm: string,
    index: number,
    rpc: number,
    reached: number,
  ): Record<string, unknown> {
    const { dataCentres } = this.options;
    return {
      vm,
      dataCentre: dataCentres[index % dataCentres.length],
      rpc: { port: rpc },
      address: `127.0.0.1:${reached}`,
      secrets: {
        peerFile: this.getPath('peer.secret'),
        upstreamFile: this.getPath('upstream.secret'),
        operatorFile: this.getPath('operator.secret'),
      },
      timelineFile: this.getPath(`${vm}.timeline.jsonl`),
    };
  }

  private async addMember(
    vm: string,
    settings: Record<string, unknown>,
    { rpc, reached, port }: { rpc: number; reached: number; port: number },
    dataFolder: string,
  ): Promise<FleetMember> {
    const file = this.getPath(`${vm}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
    const child = new ChildProcess({
      name: vm,
      script: fileURLToPath(new URL('../../../../daemon/dist/src/main.js', import.meta.url)),
      arguments: ['--settings', file],
      logFile: this.getPath(`${vm}.log`),
    });
    const url = `http://127.0.0.1:${port}`;
    const relay = reached === rpc ? undefined : new Relay({ host: '127.0.0.1', port: rpc });
    await relay?.start(reached);
    return { vm, process: child, rpc: `127.0.0.1:${reached}`, url, dataFolder, relay };
  }
}

type ControlOperation<T> = (
  client: Client<typeof ControlService>,
  options: { timeoutMs?: number },
) => Promise<T>;

async function getEngineCount(entry: FleetMember): Promise<number> {
  const response = await fetch(`${entry.url}/metrics`).catch(() => undefined);
  const text = (await response?.text()) ?? '';
  return Number(/^azurecart_ready_engines (\d+)/m.exec(text)?.[1] ?? 0);
}
