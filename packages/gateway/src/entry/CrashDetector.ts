import { connect } from 'node:net';
import type { UpstreamRecord } from '@azurecart/discovery';
import { parseAddress } from '../links/index.js';

/** Timeout for the connection in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Tells upstreams that have ended from those that broke off one response.
 * @remarks The address of an upstream that has ended refuses connections. A connection that is not
 * established in time shows nothing, as this process may be the one that is cut off.
 */
export class CrashDetector {
  private readonly pending = new Map<string, Promise<boolean>>();

  /** Resolves with true if the upstream has ended; upstreams that are being checked are not again. */
  hasEnded(upstream: UpstreamRecord): Promise<boolean> {
    const { address } = upstream;
    const known = this.pending.get(address);
    if (known) return known;
    const check = isRefused(address).finally(() => this.pending.delete(address));
    this.pending.set(address, check);
    return check;
  }
}

function isRefused(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ ...parseAddress(address), timeout: CONNECT_TIMEOUT_MS });
    const finish = (isEnded: boolean): void => {
      socket.destroy();
      resolve(isEnded);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}
