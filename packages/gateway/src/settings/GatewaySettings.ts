import { z } from 'zod';

const addressSchema = z.string().regex(/^[^\s:]+:\d+$/, 'must be host:port');

const commonSchema = z.object({
  vm: z.string().describe('name of the VM, for logs'),
  host: z.string().describe('address at which other processes reach this one'),
  dataCentre: z.string().describe('data centre of the VM'),
  linkPort: z.number().int().describe('port for links between processes'),
  seeds: z.array(addressSchema).describe('operator addresses of some control VMs'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  maxDescriptors: z
    .number()
    .int()
    .min(1)
    .default(4096)
    .describe('descriptors that the process may open, an eighth of them for files and links'),
  readerTimeoutMs: z
    .number()
    .int()
    .min(1)
    .default(60_000)
    .describe('milliseconds for which a client may take nothing of an answer'),
});

/** Settings of an entry process. */
export const entrySettingsSchema = commonSchema.extend({
  role: z.literal('entry'),
  front: addressSchema.describe('address for clients'),
  readiness: addressSchema.describe('address for load balancer health checks and metrics'),
  memoryMb: z.number().describe('memory limit of the process in MB'),
  graceSeconds: z.number().describe('seconds between SIGTERM and SIGKILL'),
  retryRatio: z.number().describe('retries allowed per request of a service'),
  retryWindowSeconds: z
    .number()
    .describe('length in seconds of the window in which retries are counted'),
  retryExtra: z
    .number()
    .describe('retries allowed per window in addition to the ratio, across all VMs'),
});

/** Settings of a control process. */
export const controlSettingsSchema = commonSchema.extend({
  role: z.literal('control'),
  operators: addressSchema.describe('address for operators and upstreams'),
  dataFolder: z.string().describe('directory for durable state'),
  isFirstStart: z.boolean().describe('true only when the whole system starts for the first time'),
  dataCentres: z
    .array(z.string())
    .default([])
    .describe('all data centres; if there are any, an order for another one is refused'),
  memoryMb: z.number().default(250).describe('memory limit of the process in MB'),
  toleratedLosses: z.number().int().describe('control VMs that may be lost at the same time'),
});

export const gatewaySettingsSchema = z.discriminatedUnion('role', [
  entrySettingsSchema,
  controlSettingsSchema,
]);

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
