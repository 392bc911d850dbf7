import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * Ports below the usual range of ephemeral ones, which outgoing connections take at any time, also
 * while the process that uses a port restarts.
 */
const FIRST_PORT = 10_000;
const END_PORT = 32_768;
const BLOCK_SIZE = 64;
const BLOCK_COUNT = Math.floor((END_PORT - FIRST_PORT) / BLOCK_SIZE);

/** Ports of the blocks that this process holds, without those handed out. */
const remainingPorts: number[] = [];

/**
 * Gets unused TCP ports of a loopback address. No port is handed out twice, neither by this process
 * nor by another one while this process runs.
 * @throws Error if all ports are in use.
 */
export async function getFreePorts(count: number, host = '127.0.0.1'): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = remainingPorts.shift();
    if (port === undefined) await takeBlock();
    else if (await isFree(port, host)) ports.push(port);
  }
  return ports;
}

/** Takes a block of ports, which this process holds by listening on its first one. */
async function takeBlock(): Promise<void> {
  const start = Math.floor(Math.random() * BLOCK_COUNT);
  for (let position = 0; position < BLOCK_COUNT; position += 1) {
    const guardPort = FIRST_PORT + ((start + position) % BLOCK_COUNT) * BLOCK_SIZE;
    const guard = await tryListen(guardPort);
    if (guard) {
      guard.unref();
      for (let offset = 1; offset < BLOCK_SIZE; offset += 1)
        remainingPorts.push(guardPort + offset);
      return;
    }
  }
  throw new Error('no block of ports is free');
}

async function isFree(port: number, host: string): Promise<boolean> {
  const server = await tryListen(port, host);
  if (!server) return false;
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  return true;
}

/** Listens on a port; gets undefined if it cannot, for example because the port is in use. */
function tryListen(port: number, host = '127.0.0.1'): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });
}
