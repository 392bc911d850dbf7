import { mkdtemp, rm } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BoundedOutput, createLogger } from '@azurecart/telemetry';
import { ControlNode, InvalidConfigurationError } from '../../src/index.js';
import type { Configuration, ConfigurationCodec, ControlProtocol } from '../../src/index.js';

/** Codec of documents that consist of a version number only. */
export const versionCodec: ConfigurationCodec = {
  decode(document: Uint8Array): Configuration {
    const version = Number(Buffer.from(document).toString());
    if (!Number.isInteger(version)) throw new InvalidConfigurationError('no version');
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return { version, routes: [], services: [], limits };
  },
};

const protocol: ControlProtocol = {
  handle: async () => ({ status: 404, body: Buffer.alloc(0) }),
};

/** Only the hosts of the seeds are used; the nodes replace the port by their link port. */
const SEEDS = ['127.0.9.1:1', '127.0.9.2:1', '127.0.9.3:1'];
const WAIT_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 25;

export const silentLogger = createLogger({
  name: 'test',
  vm: 'test',
  level: 'fatal',
  output: new BoundedOutput({ capacity: 0 }),
});

/** Control nodes on separate loopback addresses, all run by the test process. */
export class ControlCluster {
  readonly nodes = new Map<number, ControlNode>();

  private constructor(
    private readonly folder: string,
    readonly linkPort: number,
  ) {}

  /** Starts a cluster of five nodes that tolerates the loss of two. */
  static async start(): Promise<ControlCluster> {
    const folder = await mkdtemp(join(tmpdir(), 'azurecart-control-'));
    const cluster = new ControlCluster(folder, await getFreePort());
    for (const index of [1, 2, 3, 4, 5]) await cluster.startNode(index, { isFirstStart: true });
    await cluster.waitFor(() => cluster.trySubmit(1));
    return cluster;
  }

  /** Starts a node. Its disk is the one of its index unless another name is given. */
  async startNode(index: number, options: { isFirstStart?: boolean; disk?: string } = {}) {
    const node = new ControlNode({
      settings: {
        role: 'control',
        vm: `control-${index}`,
        host: getHost(index),
        dataCentre: 'd',
        linkPort: this.linkPort,
        seeds: SEEDS,
        logLevel: 'error',
        memoryMb: 250,
        maxDescriptors: 4096,
        readerTimeoutMs: 60_000,
        operators: `${getHost(index)}:0`,
        dataCentres: [],
        dataFolder: join(this.folder, options.disk ?? String(index)),
        isFirstStart: options.isFirstStart ?? false,
        toleratedLosses: 2,
      },
      codec: versionCodec,
      protocol,
      logger: silentLogger,
    });
    this.nodes.set(index, node);
    await node.start();
    return node;
  }

  async stopNode(index: number): Promise<void> {
    const node = this.nodes.get(index);
    this.nodes.delete(index);
    await node?.stop();
  }

  async stop(): Promise<void> {
    for (const index of [...this.nodes.keys()]) await this.stopNode(index);
    await rm(this.folder, { recursive: true });
  }

  /** Submits the version to one node after another; returns whether one of them accepted it. */
  async trySubmit(version: number): Promise<boolean> {
    for (const node of this.nodes.values()) {
      const outcome = await node.submit(Buffer.from(String(version)));
      if (outcome.kind === 'accepted') return true;
    }
    return false;
  }

  /** Gets the version that a node reads; undefined when no quorum confirms it. */
  async read(index: number): Promise<number | undefined> {
    const document = await this.nodes.get(index)?.read();
    return document && Number(Buffer.from(document).toString());
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- Part of the API.
  async waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    while (performance.now() < deadline) {
      if (await condition()) return;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error('timed out waiting for a condition');
  }
}

function getHost(index: number): string {
  return `127.0.9.${index}`;
}

/** Gets a port that is free on 127.0.9.1 at the time of the call. */
export async function getFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.9.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}
