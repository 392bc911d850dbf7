import { ControlClient, RpcClients, RpcContext, Secret } from '@azurecart/daemon';
import type { StatusResponse } from '@azurecart/protocol';
import { HybridClock } from '@azurecart/telemetry';
import { CommandFault } from '../CommandFault.js';

/** How the control processes are reached. */
export interface ControlOptions {
  /** Addresses host:port, separated by commas. */
  control?: string;
  /** File with the operators' secret. */
  secret?: string;
  /** PEM file of the authority whose certificates control has; plain TCP without. */
  ca?: string;
}

/** Time for a call with all its tries. */
export const CALL_TIMEOUT_MS = 10_000;

/**
 * Runs a command with a way to the control processes, and closes it.
 * @throws CommandFault when an option is missing.
 */
export async function withControl<T>(
  options: ControlOptions,
  run: (client: ControlClient) => Promise<T>,
): Promise<T> {
  const addresses = options.control ?? process.env.AZURECART_CONTROL;
  const file = options.secret ?? process.env.AZURECART_SECRET_FILE;
  if (!addresses) throw new CommandFault('--control or AZURECART_CONTROL is needed');
  if (!file) throw new CommandFault('--secret or AZURECART_SECRET_FILE is needed');
  const secret = await Secret.load(file);
  const clients = new RpcClients(new RpcContext({ secret, clock: new HybridClock() }), options.ca);
  try {
    return await run(new ControlClient(clients, addresses.split(',')));
  } finally {
    clients.close();
  }
}

/** Gets what control knows of the system. */
export async function getStatus(client: ControlClient): Promise<StatusResponse> {
  return client.call((control, call) => control.status({}, call), { timeoutMs: CALL_TIMEOUT_MS });
}
