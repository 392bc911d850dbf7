import type { Server } from 'node:net';

/** Parses a `host:port` address. */
export function parseAddress(address: string): { host: string; port: number } {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/** Starts listening at a `host:port` address; rejects if that fails. */
export function listenAt(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
