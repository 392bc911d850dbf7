import { ControlClient, RpcClients, RpcContext, Secret } from '@azurecart/daemon';
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

/** A way to control, to be closed after use. */
export interface OpenControl {
  client: ControlClient;
  close: () => void;
}

/** Time for a call with all its tries. */
export const CALL_TIMEOUT_MS = 10_000;

/**
 * Opens the way to the control processes.
 * @throws CommandFault when an option is missing.
 */
export async function openControl(options: ControlOptions): Promise<OpenControl> {
  const addresses = options.control ?? process.env.AZURECART_CONTROL;
  const file = options.secret ?? process.env.AZURECART_SECRET_FILE;
  if (!addresses) throw new CommandFault('--control or AZURECART_CONTROL is needed');
  if (!file) throw new CommandFault('--secret or AZURECART_SECRET_FILE is needed');
  const secret = await Secret.load(file);
  const context = new RpcContext({ secret, clock: new HybridClock() });
  const clients = new RpcClients(context, options.ca);
  const client = new ControlClient(clients, addresses.split(','));
  return { client, close: () => clients.close() };
}
