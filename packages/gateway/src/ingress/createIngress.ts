import { Ingress } from '@azurecart/ingress';
import type { ConnectionLimits } from '@azurecart/ingress';
import type { Logger } from '@azurecart/telemetry';
import type { Limits } from '../configuration/index.js';
import type { GatewaySettings } from '../settings/index.js';

/** Options of {@link createIngress}. */
export interface GatewayIngressOptions {
  /** Name of the server in log lines. */
  name: string;
  settings: Pick<GatewaySettings, 'memoryMb' | 'maxDescriptors' | 'readerTimeoutMs'>;
  logger: Logger;
  /** Limits that differ from those derived from the settings. */
  limits?: Partial<ConnectionLimits>;
}

const BYTES_PER_MB = 1024 * 1024;
/** Share of the descriptors for files, links to other processes and listeners. */
const OTHER_DESCRIPTORS_SHARE = 1 / 8;
const MIN_OTHER_DESCRIPTORS = 64;
const MIN_CLIENT_DESCRIPTORS = 32;
/** Connections for health checks and metrics, of which each side needs a few. */
const MONITORING_CONNECTIONS = 24;
/** Share of the memory for connections, with a request of each in service. */
const CONNECTION_MEMORY_SHARE = 0.25;
const CONNECTION_BYTES = 24 * 1024;
/** Share of the memory for requests that wait behind others, without bodies. */
const AHEAD_MEMORY_SHARE = 0.05;
const AHEAD_BYTES = 8 * 1024;
/** Share of the memory for bytes that are held back from the parser. */
const HELD_MEMORY_SHARE = 0.1;
/** What one read delivers at most, and what may be read ahead beside it. */
const HELD_BYTES = 80 * 1024;
/** Multiple of the times that clients are allowed after which their connections are closed. */
const CLIENT_TIME_FACTOR = 2;

/** Bytes as received of a refused request, for each byte that a body may have; includes framing. */
const DRAIN_FACTOR = 2;
const MIN_DRAIN_BYTES = 1024 * 1024;

/** Creates the ingress of a server whose clients are not under the control of the operators. */
export function createIngress({ name, settings, logger, limits }: GatewayIngressOptions): Ingress {
  const memoryBytes = settings.memoryMb * BYTES_PER_MB;
  const { maxDescriptors, readerTimeoutMs } = settings;
  const otherDescriptors = Math.max(
    MIN_OTHER_DESCRIPTORS,
    Math.ceil(maxDescriptors * OTHER_DESCRIPTORS_SHARE),
  );
  return new Ingress({
    limits: {
      maxConnections: Math.floor((memoryBytes * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES),
      maxDescriptors: Math.max(
        MIN_CLIENT_DESCRIPTORS,
        maxDescriptors - otherDescriptors - MONITORING_CONNECTIONS,
      ),
      maxAheadTotal: Math.floor((memoryBytes * AHEAD_MEMORY_SHARE) / AHEAD_BYTES),
      maxHeld: Math.floor((memoryBytes * HELD_MEMORY_SHARE) / HELD_BYTES),
      readerTimeoutMs,
      ...limits,
    },
    onSummary: (counts) =>
      logger.warn({ server: name, ...counts }, 'connections refused or closed by limits'),
  });
}

/** Creates the ingress of the server for health checks and metrics. */
export function createMonitoringIngress(options: GatewayIngressOptions): Ingress {
  const limits = { maxConnections: MONITORING_CONNECTIONS, addressShare: 1, maxAhead: 1 };
  return createIngress({ ...options, limits: { ...limits, ...options.limits } });
}

/** Gets the limits that follow from those that the configuration sets for clients. */
export function getClientLimits(getLimits: () => Limits | undefined): Partial<ConnectionLimits> {
  const getMs = (name: 'headerTimeoutMs' | 'idleTimeoutMs') => (): number | undefined => {
    const allowedMs = getLimits()?.[name];
    return allowedMs === undefined ? undefined : allowedMs * CLIENT_TIME_FACTOR;
  };
  return {
    getHeadTimeoutMs: getMs('headerTimeoutMs'),
    getIdleTimeoutMs: getMs('idleTimeoutMs'),
    getMaxDrainBytes: () =>
      Math.max(MIN_DRAIN_BYTES, (getLimits()?.maxBodyBytes ?? 0) * DRAIN_FACTOR),
  };
}
