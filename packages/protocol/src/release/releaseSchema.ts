import { z } from 'zod';
import { prioritySchema } from './Priority.js';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, dot, dash, underscore');
const shareSchema = z.number().min(0).max(0.5);
const millisecondsSchema = z.int().min(1);

const adapterSchema = z.strictObject({ name, version: z.string().min(1) });

const modelSchema = z.strictObject({
  name,
  version: z.string().min(1),
  /** Pool of engines that serve the model. */
  pool: name,
  adapters: z.array(adapterSchema).default([]),
  /** Maximum number of tokens in the prompt and output together. */
  contextTokens: z.int().min(1).default(1_200_000),
});

const poolSchema = z.strictObject({
  name,
  /**
   * Whether the engines reject commands and prompts with a stale fencing token. If not, a new shard
   * owner grants no memory on them until the grants of the previous owner have expired.
   */
  checksFence: z.boolean().default(true),
});

const priorityPolicySchema = z.strictObject({
  /**
   * Minimum share of the granted work while requests of the priority are queued, under a flood of
   * higher-priority requests. Has no effect on `urgent`, the highest priority.
   */
  minimumShare: shareSchema,
  /** Default deadline for the complete response if the client does not send one. */
  deadlineMs: millisecondsSchema,
  /**
   * Target for the time to first token of a short prompt. Requests that would be queued for longer
   * are refused.
   */
  firstTokenMs: millisecondsSchema,
});

const customerSchema = z.strictObject({
  name,
  /** Hexadecimal SHA-256 of each API key. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')).min(1),
  /** Highest priority that the customer may request; also the default. */
  priority: prioritySchema.default('standard'),
  /** Weight of the customer in fair queueing. */
  weight: z.number().min(0.01).max(100).default(1),
  /** Models that the customer may use; all by default. */
  models: z.array(name).optional(),
});

const callSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path relative to the prefix of the service; a trailing `*` matches any suffix. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
});

const serviceSchema = z.strictObject({
  name,
  /** Path prefix of requests that are routed to the service. */
  prefix: z.string().regex(/^\/[a-z0-9/_-]+$/, 'must be a path such as /work-orders'),
  calls: z.array(callSchema).default([]),
  timeoutMs: millisecondsSchema.default(10_000),
});

const routingSchema = z.strictObject({
  /** Minimum number of tokens in a long prompt. Placement separates long from short prompts. */
  longTokens: z.int().min(1).default(32_000),
  /** Number of shards that the upstreams of a data centre are divided into; each has one owner. */
  shardsPerDataCentre: z.int().min(1).max(256).default(1),
});

const weightStoreSchema = z.strictObject({
  /** Maximum number of concurrent model loads in the whole fleet. */
  concurrentLoads: z.int().min(1).default(2),
  /** Minimum time in milliseconds between the starts of two loads. */
  spacingMs: z.int().min(0).default(100),
});

/** Schema of a release: the complete configuration of the fleet. */
export const releaseSchema = z
  .strictObject({
    number: z.int().min(1),
    /** Number of the release that this one replaces; 0 for the first release. */
    follows: z.int().min(0),
    note: z.string().max(2000).default(''),
    pools: z.array(poolSchema).default([]),
    models: z.array(modelSchema).default([]),
    priorities: z.strictObject({
      urgent: priorityPolicySchema,
      standard: priorityPolicySchema,
      batch: priorityPolicySchema,
    }),
    routing: routingSchema.prefault({}),
    customers: z.array(customerSchema).default([]),
    services: z.array(serviceSchema).default([]),
    weightStore: weightStoreSchema.prefault({}),
  })
  .superRefine(checkConsistency);

/** A release: the complete configuration of the fleet. */
export type Release = z.infer<typeof releaseSchema>;

/** A customer of a release. */
export type Customer = z.infer<typeof customerSchema>;

/** A model of a release. */
export type Model = z.infer<typeof modelSchema>;

/** An HTTP service of a release, as opposed to a model. */
export type Service = z.infer<typeof serviceSchema>;

function checkConsistency(release: z.output<typeof releaseSchema>, context: z.RefinementCtx): void {
  const reportIssue = (path: (string | number)[], message: string): void => {
    context.addIssue({ code: 'custom', path, message });
  };
  if (release.number !== release.follows + 1) {
    reportIssue(['number'], `must be ${release.follows + 1}, one more than follows`);
  }
  const pools = new Set(release.pools.map((pool) => pool.name));
  release.models.forEach((model, index) => {
    if (!pools.has(model.pool))
      reportIssue(['models', index, 'pool'], `names no pool: ${model.pool}`);
  });
  const models = new Set(release.models.map((model) => model.name));
  release.customers.forEach((customer, index) => {
    const missing = customer.models?.find((model) => !models.has(model));
    if (missing) reportIssue(['customers', index, 'models'], `names no model: ${missing}`);
  });
  checkUniqueNames(release.pools, 'pools', reportIssue);
  checkUniqueNames(release.models, 'models', reportIssue);
  checkUniqueNames(release.customers, 'customers', reportIssue);
  checkUniqueNames(release.services, 'services', reportIssue);
  checkUniqueKeyHashes(release.customers, reportIssue);
}

function checkUniqueNames(
  items: { name: string }[],
  path: string,
  reportIssue: (path: (string | number)[], message: string) => void,
): void {
  const seen = new Set<string>();
  items.forEach((item, index) => {
    if (seen.has(item.name)) reportIssue([path, index, 'name'], `stands twice: ${item.name}`);
    seen.add(item.name);
  });
}

function checkUniqueKeyHashes(
  customers: { keyHashes: string[] }[],
  reportIssue: (path: (string | number)[], message: string) => void,
): void {
  const seen = new Set<string>();
  customers.forEach((customer, index) => {
    for (const hash of customer.keyHashes) {
      if (seen.has(hash)) reportIssue(['customers', index, 'keyHashes'], 'a key stands twice');
      seen.add(hash);
    }
  });
}
