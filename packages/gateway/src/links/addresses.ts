import type { Server } from 'node:net';

/** Splits `host:port`. */
export function parseAddress(address: string): { host: string; port: number } {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

/** Starts listening at `host:port`; rejects when the address is taken. */
export function listenAt(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
