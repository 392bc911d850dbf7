import { z } from 'zod';
import { prioritySchema } from './Priority.js';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, dot, dash, underscore');
const share = z.number().min(0).max(0.5);
const milliseconds = z.int().min(1);

const adapterSchema = z.strictObject({ name, version: z.string().min(1) });

const modelSchema = z.strictObject({
  name,
  version: z.string().min(1),
  /** Pool of engines that serve the model. */
  pool: name,
  adapters: z.array(adapterSchema).default([]),
  /** Longest prompt and answer together, in tokens. */
  contextTokens: z.int().min(1).default(1_200_000),
});

const poolSchema = z.strictObject({
  name,
  /** Whether the engines refuse a command that carries an old fencing number. */
  checksFence: z.boolean().default(true),
});

const priorityPolicySchema = z.strictObject({
  /** Share of useful tokens that the priority keeps while higher ones flood in. */
  minimumShare: share,
  /** Time for the whole answer when the client states none. */
  deadlineMs: milliseconds,
  /** Time to the first token of a short prompt. */
  firstTokenMs: milliseconds,
});

const customerSchema = z.strictObject({
  name,
  /** SHA-256 of each API key, in hexadecimal. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')).min(1),
  /** Highest priority that the customer may ask for, and its default. */
  priority: prioritySchema.default('standard'),
  /** Fair share relative to other customers. */
  weight: z.number().min(0.01).max(100).default(1),
  /** Models that the customer may use; all when absent. */
  models: z.array(name).optional(),
});

const callSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service's prefix; a trailing `*` matches any rest. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
});

const serviceSchema = z.strictObject({
  name,
  /** Path prefix by which clients reach the service. */
  prefix: z.string().regex(/^\/[a-z0-9/_-]+$/, 'must be a path such as /work-orders'),
  calls: z.array(callSchema).default([]),
  timeoutMs: milliseconds.default(10_000),
});

const routingSchema = z.strictObject({
  /** Prompts from this length on are kept apart from short ones. */
  longTokens: z.int().min(1).default(32_000),
  /** Groups into which the upstreams of a data centre are split, each with one owner. */
  shardsPerDataCentre: z.int().min(1).max(256).default(1),
});

const weightStoreSchema = z.strictObject({
  /** Model loads that may run at the same time in the whole fleet. */
  concurrentLoads: z.int().min(1).default(2),
  /** Shortest time between two loads. */
  spacingMs: z.int().min(0).default(100),
});

/** A release: the whole configuration of the fleet. */
export const releaseSchema = z
  .strictObject({
    number: z.int().min(1),
    /** Number of the release that this one replaces; 0 for the first. */
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
  .superRefine(checkReferences);

/** A release: the whole configuration of the fleet. */
export type Release = z.infer<typeof releaseSchema>;

/** A customer of a release. */
export type Customer = z.infer<typeof customerSchema>;

/** A model of a release. */
export type Model = z.infer<typeof modelSchema>;

/** A plain service of a release. */
export type Service = z.infer<typeof serviceSchema>;

function checkReferences(release: z.output<typeof releaseSchema>, context: z.RefinementCtx): void {
  const fail = (path: (string | number)[], message: string): void => {
    context.addIssue({ code: 'custom', path, message });
  };
  if (release.number !== release.follows + 1) {
    fail(['number'], `must be ${release.follows + 1}, one more than follows`);
  }
  const pools = new Set(release.pools.map((pool) => pool.name));
  release.models.forEach((model, index) => {
    if (!pools.has(model.pool)) fail(['models', index, 'pool'], `names no pool: ${model.pool}`);
  });
  const models = new Set(release.models.map((model) => model.name));
  release.customers.forEach((customer, index) => {
    const missing = customer.models?.find((model) => !models.has(model));
    if (missing) fail(['customers', index, 'models'], `names no model: ${missing}`);
  });
  checkUnique(release.pools, 'pools', fail);
  checkUnique(release.models, 'models', fail);
  checkUnique(release.customers, 'customers', fail);
  checkUnique(release.services, 'services', fail);
  checkKeys(release.customers, fail);
}

function checkUnique(
  items: { name: string }[],
  path: string,
  fail: (path: (string | number)[], message: string) => void,
): void {
  const seen = new Set<string>();
  items.forEach((item, index) => {
    if (seen.has(item.name)) fail([path, index, 'name'], `stands twice: ${item.name}`);
    seen.add(item.name);
  });
}

function checkKeys(
  customers: { keyHashes: string[] }[],
  fail: (path: (string | number)[], message: string) => void,
): void {
  const seen = new Set<string>();
  customers.forEach((customer, index) => {
    for (const hash of customer.keyHashes) {
      if (seen.has(hash)) fail(['customers', index, 'keyHashes'], 'a key stands twice');
      seen.add(hash);
    }
  });
}
