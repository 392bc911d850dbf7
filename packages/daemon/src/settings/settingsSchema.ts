import { z } from 'zod';

const port = z.int().min(1).max(65_535);
const milliseconds = z.int().min(1);
const bytes = z.int().min(1);
const address = z.string().regex(/^[^:/\s]+:\d+$/, 'must be host:port, such as 10.0.0.1:7000');

const listenerSchema = z.strictObject({
  host: z.string().default('127.0.0.1').describe('IP address to listen on'),
  port: port.describe('TCP port to listen on'),
  tls: z
    .strictObject({
      certificateFile: z.string().describe('PEM file with the certificate chain'),
      keyFile: z.string().describe('PEM file with the private key'),
    })
    .optional()
    .describe('TLS of the listener; plain TCP when absent'),
});

const secretsSchema = z.strictObject({
  peerFile: z.string().describe('File with the secret shared by the processes of the system'),
  upstreamFile: z.string().describe('File with the secret shared with upstreams'),
  operatorFile: z.string().describe('File with the secret of the operators'),
});

const commonShape = {
  vm: z.string().min(1).describe('Name of the VM, unique in the system'),
  dataCentre: z.string().min(1).describe('Data centre of the VM'),
  rpc: listenerSchema.describe('Listener for the other processes of the system'),
  address: address.describe('Address by which the other processes reach the rpc listener'),
  peerCaFile: z
    .string()
    .optional()
    .describe(
      'PEM file with the certificate authority of the rpc listeners; calls use TLS with it',
    ),
  secrets: secretsSchema,
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
  timelineFile: z.string().optional().describe('JSON lines file for timeline events'),
};

/** Resource limits and timeouts of an entry process. */
const limitsSchema = z.strictObject({
  bodyBytes: bytes.default(16 * 1024 * 1024).describe('Longest request body in bytes'),
  bufferedBytes: bytes
    .default(256 * 1024 * 1024)
    .describe('Bytes of all request bodies held at the same time'),
  headerBytes: bytes.default(16 * 1024).describe('Longest request header in bytes'),
  bodyTimeoutMs: milliseconds.default(20_000).describe('Longest time for a body to arrive'),
  headerTimeoutMs: milliseconds.default(5_000).describe('Longest time for a header to arrive'),
  connections: z.int().min(1).default(2048).describe('Open connections of clients'),
  descriptors: z
    .int()
    .min(1)
    .default(4096)
    .describe('Connections of clients, with one more for each that has a request in progress'),
  readerTimeoutMs: milliseconds
    .default(60_000)
    .describe('Longest time for which a client may take nothing of an answer'),
  inlineBytes: bytes.default(32 * 1024).describe('Longest body parsed on the event loop, in bytes'),
  silenceMs: milliseconds
    .default(5_000)
    .describe(
      'Longest silence of an engine, before or within an answer, after which it counts as lost',
    ),
});

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
  role: z.literal('entry'),
  ...commonShape,
  listen: listenerSchema.describe('Listener for clients and upstreams'),
  control: z.array(address).min(1).describe('Addresses of the control processes'),
  policy: z
    .enum(['fair', 'baseline'])
    .default('fair')
    .describe('Scheduling policy; baseline is first come, first served, for comparison'),
  limits: limitsSchema.prefault({}),
  drainMs: milliseconds
    .default(2_000)
    .describe('Time for the balancer to notice that the process is stopping'),
  announcementTtlMs: milliseconds
    .default(2_500)
    .describe('Time after which a silent upstream gets no new work'),
  startWithinMs: milliseconds
    .default(1_000)
    .describe('Time in which a granted prompt must be sent'),
});

/** Settings of a control process. */
export const controlSettingsSchema = z.strictObject({
  role: z.literal('control'),
  ...commonShape,
  admin: listenerSchema.describe('Listener for health, metrics and the timeline'),
  members: z
    .array(z.strictObject({ name: z.string().min(1), address }))
    .min(1)
    .describe('Names and addresses of all control processes, this one included'),
  dataFolder: z.string().describe('Folder for all durable files'),
  dataCentres: z.array(z.string()).min(1).describe('Data centres that have upstreams'),
  leaseMs: milliseconds.default(2_500).describe('Length of an entry process lease'),
  pollMs: milliseconds.default(400).describe('Longest time that a lease renewal is held'),
  electionTimeoutMs: milliseconds.default(600).describe('Silence after which a leader is replaced'),
  heartbeatMs: milliseconds.default(100).describe('Time between two heartbeats of the leader'),
  claimRetentionMs: milliseconds
    .default(24 * 3600 * 1000)
    .describe('Time for which an idempotency key is kept'),
  snapshotEvery: z.int().min(10).default(2_000).describe('Log entries between two snapshots'),
});

/** Settings of a process, discriminated by its role. */
export const settingsSchema = z.discriminatedUnion('role', [
  entrySettingsSchema,
  controlSettingsSchema,
]);

export type Settings = z.infer<typeof settingsSchema>;
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
export type Listener = z.infer<typeof listenerSchema>;
export type Limits = z.infer<typeof limitsSchema>;
