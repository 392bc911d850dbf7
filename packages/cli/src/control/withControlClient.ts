import { ControlClient, RpcClients, RpcInterceptors, Secret } from '@azurecart/daemon';
import type { StatusResponse } from '@azurecart/protocol';
import { HybridClock } from '@azurecart/telemetry';
import { CommandError } from '../CommandError.js';

/** Connection options for the control processes. */
export interface ControlOptions {
  /** Comma-separated `host:port` addresses. */
  control?: string;
  /** File with the operators' secret. */
  secret?: string;
  /** PEM file of the certificate authority of the control processes; without it, TLS is not used. */
  ca?: string;
}

/** Timeout of a call, including all attempts. */
export const CALL_TIMEOUT_MS = 10_000;

/**
 * Runs a function with a client for the control processes, and closes the client's connections.
 * @throws CommandError if a required option is missing.
 */
export async function withControlClient<T>(
  options: ControlOptions,
  run: (client: ControlClient) => Promise<T>,
): Promise<T> {
  const addresses = options.control ?? process.env.AZURECART_CONTROL;
  const file = options.secret ?? process.env.AZURECART_SECRET_FILE;
  if (!addresses) throw new CommandError('--control or AZURECART_CONTROL is required');
  if (!file) throw new CommandError('--secret or AZURECART_SECRET_FILE is required');
  const secret = await Secret.load(file);
  const clients = new RpcClients(
    new RpcInterceptors({ secret, clock: new HybridClock() }),
    options.ca,
  );
  try {
    return await run(new ControlClient(clients, addresses.split(',')));
  } finally {
    clients.close();
  }
}

/** Gets the cluster status from the control processes. */
export async function getStatus(client: ControlClient): Promise<StatusResponse> {
  return client.call((control, call) => control.status({}, call), { timeoutMs: CALL_TIMEOUT_MS });
}
