import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Code, ConnectError } from '@connectrpc/connect';
import { generate } from 'selfsigned';
import { OwnerService } from '@azurecart/protocol';
import { HybridClock } from '@azurecart/telemetry';
import { addOwnerRoutes } from '../../src/entry/owner/index.js';
import type { OwnerApi } from '../../src/entry/owner/index.js';
import { RpcClients, RpcInterceptors, RpcServer, Secret } from '../../src/index.js';

const OWNER_CALLS: OwnerApi = {
  reserve: async () => ({ granted: true }),
  release: async () => undefined,
  markDecoding: async () => undefined,
  announce: async () => ({ accepted: true }),
  summarise: async (shard) => ({ shard, models: [], services: [] }),
};

function createInterceptors(secret: string): RpcInterceptors {
  return new RpcInterceptors({ secret: new Secret(secret), clock: new HybridClock() });
}

async function getFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Starts a server, makes one call to it and stops it. */
async function callSummarise(secret: string, files?: { certificateFile: string; keyFile: string }) {
  const port = await getFreePort();
  const server = new RpcServer({
    listener: { host: '127.0.0.1', port, tls: files },
    interceptors: createInterceptors('right'),
    routes: (router) => addOwnerRoutes(router, OWNER_CALLS),
  });
  const clients = new RpcClients(createInterceptors(secret), files?.certificateFile);
  await server.start();
  try {
    const client = clients.getClient(OwnerService, `127.0.0.1:${port}`);
    return await client.summarise({ shard: 'a/0' }, { timeoutMs: 5000 });
  } finally {
    clients.close();
    await server.stop();
  }
}

test('a call with the peer secret is accepted', async () => {
  assert.equal((await callSummarise('right')).summary?.shard, 'a/0');
});

test('a call with another secret is refused', async () => {
  await assert.rejects(
    callSummarise('wrong'),
    (error) => ConnectError.from(error).code === Code.Unauthenticated,
  );
});

test('calls between processes use TLS when the listener has a certificate', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'azurecart-'));
  const files = { certificateFile: join(folder, 'cert.pem'), keyFile: join(folder, 'key.pem') };
  const pems = await generate([{ name: 'commonName', value: '127.0.0.1' }], {
    extensions: [
      { name: 'basicConstraints', cA: true },
      { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] },
    ],
  });
  await writeFile(files.certificateFile, pems.cert);
  await writeFile(files.keyFile, pems.private);
  assert.equal((await callSummarise('right', files)).summary?.shard, 'a/0');
  await rm(folder, { recursive: true });
});
