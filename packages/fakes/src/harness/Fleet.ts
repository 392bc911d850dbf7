import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { Client } from '@connectrpc/connect';
import { ControlClient, RpcClients, RpcInterceptors, Secret } from '@azurecart/daemon';
import type { ControlService, StatusResponse } from '@azurecart/protocol';
import { HybridClock } from '@azurecart/telemetry';
import { ChildProcess } from './ChildProcess.js';
import { getFreePorts } from './getFreePorts.js';
import { Relay } from './Relay.js';

/** Size and settings of a fleet. */
export interface FleetOptions {
  folder: string;
  dataCentres: string[];
  controls: number;
  entries: number;
  /**
   * RPC and admin port of each control process, then client and RPC port of each entry process;
   * with relays, each pair is followed by the port of the relay. Free ports if absent.
   */
  ports?: number[];
  /** Puts a relay in front of the RPC port of each process. */
  hasRelays?: boolean;
  /** Additional settings of every entry process. */
  entrySettings?: Record<string, unknown>;
  /** Additional settings of every control process. */
  controlSettings?: Record<string, unknown>;
  /** Options of Node.js for every process, such as its heap limit. */
  nodeArguments?: string[];
}

/** A control or entry process with its addresses. */
export interface FleetProcess {
  vm: string;
  process: ChildProcess;
  /** Address by which other processes reach the RPC port, that of the relay if there is one. */
  rpcAddress: string;
  /** Base URL of the admin port of a control process or of the client port of an entry process. */
  url: string;
  /** Empty for an entry process. */
  dataFolder: string;
  relay: Relay | undefined;
}

/** Secret that the fake upstreams authenticate with. */
export const UPSTREAM_SECRET = 'upstream-secret';
const PEER_SECRET = 'peer-secret';
/** Secret that operators authenticate with. */
export const OPERATOR_SECRET = 'operator-secret';
/** Time limit of waiting for ready engines, and the default one of a call to control. */
const TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** Control and entry processes with fake upstreams, all on the local machine. */
export class Fleet {
  readonly controls: FleetProcess[] = [];

  readonly entries: FleetProcess[] = [];

  readonly upstreams: ChildProcess[] = [];

  private readonly clients = new RpcClients(
    new RpcInterceptors({ secret: new Secret(PEER_SECRET), clock: new HybridClock() }),
  );

  private controlClient: ControlClient | undefined;

  constructor(private readonly options: FleetOptions) {}

  get entryUrls(): string[] {
    return this.entries.map((entry) => entry.url);
  }

  /**
   * Writes settings and secrets, starts the processes and waits until the control leader responds.
   */
  async start(): Promise<void> {
    await rm(this.options.folder, { recursive: true, force: true });
    await mkdir(this.options.folder, { recursive: true });
    await this.writeSecrets();
    await this.writeSettings();
    [...this.controls, ...this.entries].forEach((member) => member.process.start());
    this.controlClient = new ControlClient(
      this.clients,
      this.controls.map((member) => member.rpcAddress),
    );
    await this.getStatus();
  }

  /** Starts fake upstreams in one process. */
  startUpstreams(settings: Record<string, unknown>[]): ChildProcess {
    const completeSettings = settings.map((upstreamSettings) => ({
      secret: UPSTREAM_SECRET,
      entries: this.entryUrls,
      ...upstreamSettings,
    }));
    const name = `upstreams-${this.upstreams.length}`;
    const child = new ChildProcess({
      name,
      script: fileURLToPath(new URL('./upstreamMain.js', import.meta.url)),
      arguments: [JSON.stringify(completeSettings)],
      logFile: this.getPath(`${name}.log`),
    });
    child.start();
    this.upstreams.push(child);
    return child;
  }

  /** Submits a release and gets the decision of the control leader. */
  async submit(release: Record<string, unknown>, operator = 'harness') {
    const request = { release: JSON.stringify(release), operator };
    return this.callControl((client, options) => client.submit(request, options));
  }

  async getStatus(): Promise<StatusResponse> {
    return this.callControl((client, options) => client.status({}, options));
  }

  /** Calls the control leader. */
  async callControl<T>(operation: ControlCall<T>, timeoutMs = TIMEOUT_MS): Promise<T> {
    if (!this.controlClient) throw new Error('the fleet has not been started');
    return this.controlClient.call(operation, { timeoutMs });
  }

  /**
   * Waits until the entry processes together count at least the given number of ready engines, of any
   * model, and each entry process is ready; then waits for another second.
   * @param model - Name in the error message only; which models are loaded is not checked.
   */
  async waitForReadyEngines(model: string, engines = 1): Promise<void> {
    const endAt = performance.now() + TIMEOUT_MS;
    while (performance.now() < endAt) {
      const engineCounts = await Promise.all(this.entries.map((entry) => getEngineCount(entry)));
      const total = engineCounts.reduce((sum, count) => sum + count, 0);
      if (total >= engines && (await this.areEntriesReady())) {
        await sleep(1000);
        return;
      }
      await sleep(POLL_MS);
    }
    throw new Error(`timed out waiting for ready engines (required for model ${model})`);
  }

  /** Stops all processes and relays. */
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

  private async areEntriesReady(): Promise<boolean> {
    const readiness = await Promise.all(
      this.entries.map(async ({ url }) => {
        const response = await fetch(`${url}/readyz`).catch(() => undefined);
        return response?.ok ?? false;
      }),
    );
    return readiness.every(Boolean);
  }

  private async writeSecrets(): Promise<void> {
    await writeFile(this.getPath('peer.secret'), PEER_SECRET);
    await writeFile(this.getPath('upstream.secret'), UPSTREAM_SECRET);
    await writeFile(this.getPath('operator.secret'), OPERATOR_SECRET);
  }

  private async writeSettings(): Promise<void> {
    const { controls, entries } = this.options;
    const ports = this.options.ports ?? (await getFreePorts(3 * (controls + entries)));
    const nextPort = (): number => ports.shift() ?? 0;
    const nextAdvertisedPort = (rpc: number): number => (this.options.hasRelays ? nextPort() : rpc);
    const controlPorts = Array.from({ length: controls }, () => {
      const rpc = nextPort();
      const admin = nextPort();
      return { rpc, admin, advertisedPort: nextAdvertisedPort(rpc) };
    });
    const members = controlPorts.map(({ advertisedPort }, index) => ({
      name: `control-${index}`,
      address: `127.0.0.1:${advertisedPort}`,
    }));
    for (const [index, { rpc, admin, advertisedPort }] of controlPorts.entries()) {
      const vm = `control-${index}`;
      const dataFolder = this.getPath(vm);
      const settings = {
        role: 'control',
        ...this.getCommonSettings(vm, index, rpc, advertisedPort),
        admin: { port: admin },
        members,
        dataFolder,
        dataCentres: this.options.dataCentres,
        ...this.options.controlSettings,
      };
      const addresses = { rpc, advertisedPort, port: admin };
      this.controls.push(await this.addProcess(vm, settings, addresses, dataFolder));
    }
    const controlAddresses = members.map((member) => member.address);
    for (let index = 0; index < entries; index += 1) {
      const vm = `entry-${index}`;
      const [port, rpc] = [nextPort(), nextPort()];
      const advertisedPort = nextAdvertisedPort(rpc);
      const settings = {
        role: 'entry',
        ...this.getCommonSettings(vm, index, rpc, advertisedPort),
        listen: { port },
        control: controlAddresses,
        ...this.options.entrySettings,
      };
      this.entries.push(await this.addProcess(vm, settings, { rpc, advertisedPort, port }, ''));
    }
  }

  private getCommonSettings(
    vm: string,
    index: number,
    rpc: number,
    advertisedPort: number,
  ): Record<string, unknown> {
    const { dataCentres } = this.options;
    return {
      vm,
      dataCentre: dataCentres[index % dataCentres.length],
      rpc: { port: rpc },
      address: `127.0.0.1:${advertisedPort}`,
      secrets: {
        peerFile: this.getPath('peer.secret'),
        upstreamFile: this.getPath('upstream.secret'),
        operatorFile: this.getPath('operator.secret'),
      },
      timelineFile: this.getPath(`${vm}.timeline.jsonl`),
    };
  }

  private async addProcess(
    vm: string,
    settings: Record<string, unknown>,
    { rpc, advertisedPort, port }: { rpc: number; advertisedPort: number; port: number },
    dataFolder: string,
  ): Promise<FleetProcess> {
    const file = this.getPath(`${vm}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
    const child = new ChildProcess({
      name: vm,
      script: fileURLToPath(new URL('../../../../daemon/dist/src/main.js', import.meta.url)),
      arguments: ['--settings', file],
      nodeArguments: this.options.nodeArguments,
      logFile: this.getPath(`${vm}.log`),
    });
    const url = `http://127.0.0.1:${port}`;
    const relay = advertisedPort === rpc ? undefined : new Relay({ host: '127.0.0.1', port: rpc });
    await relay?.start(advertisedPort);
    return {
      vm,
      process: child,
      rpcAddress: `127.0.0.1:${advertisedPort}`,
      url,
      dataFolder,
      relay,
    };
  }
}

type ControlCall<T> = (
  client: Client<typeof ControlService>,
  options: { timeoutMs?: number },
) => Promise<T>;

async function getEngineCount(entry: FleetProcess): Promise<number> {
  const response = await fetch(`${entry.url}/metrics`).catch(() => undefined);
  const text = (await response?.text()) ?? '';
  return Number(/^azurecart_ready_engines (\d+)/m.exec(text)?.[1] ?? 0);
}
