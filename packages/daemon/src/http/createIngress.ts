import { Ingress } from '@azurecart/ingress';
import type { Logger } from '@azurecart/telemetry';

/** Options of {@link createIngress}. */
export interface ServerIngressOptions {
  /** Name of the server in log lines. */
  name: string;
  logger?: Logger;
  maxConnections?: number;
  maxDescriptors?: number;
  readerTimeoutMs?: number;
  /** Bytes of a request that has been answered already that may still be received. */
  maxDrainBytes?: number;
}

const MAX_CONNECTIONS = 1024;
const MAX_DESCRIPTORS = 2048;
const MAX_AHEAD_TOTAL = 1024;
/** Connections whose bytes are held back; each may hold 80 KiB. */
const MAX_HELD = 256;
const MAX_DRAIN_BYTES = 16 * 1024 * 1024;

/** Creates the ingress of a server. */
export function createIngress({
  name,
  logger,
  maxConnections = MAX_CONNECTIONS,
  maxDescriptors = MAX_DESCRIPTORS,
  readerTimeoutMs,
  maxDrainBytes = MAX_DRAIN_BYTES,
}: ServerIngressOptions): Ingress {
  return new Ingress({
    limits: {
      maxConnections,
      maxDescriptors,
      maxAheadTotal: MAX_AHEAD_TOTAL,
      maxHeld: MAX_HELD,
      ...(readerTimeoutMs !== undefined && { readerTimeoutMs }),
      getMaxDrainBytes: () => maxDrainBytes,
    },
    onSummary: (counts) =>
      logger?.warn({ server: name, ...counts }, 'connections refused or closed by limits'),
  });
}
