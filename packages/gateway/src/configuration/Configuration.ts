import { z } from 'zod';

/** What the repetition of a request may do. */
export const requestKindSchema = z.enum(['idempotent', 'nonIdempotent', 'stream']);

/** A share of a route's traffic. */
const backendSchema = z.object({ service: z.string(), weight: z.number().nonnegative() });

/** Which requests go where, and what is promised to them. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: requestKindSchema,
  /** Milliseconds after which the request must have its final answer. */
  timeoutMs: z.number(),
  /** Milliseconds to the answer, or to the first event of a stream. */
  objectiveMs: z.number(),
  /** Longest pause in milliseconds between two events of a stream. */
  pauseMs: z.number(),
  /** Rank, 0 first. */
  priority: z.number(),
  /** Most upstreams that one request may be sent to. */
  maxAttempts: z.number(),
  /** True when requests need no key. */
  isPublic: z.boolean(),
  /** True when a stream may be continued by another upstream. */
  isResumable: z.boolean(),
  /** True when requests describe their prompt. */
  hasPrompt: z.boolean(),
  backends: z.array(backendSchema),
});

/** Published pace of a service's model engines. */
export const engineSchema = z.object({
  /** Requests in one batch. */
  capacity: z.number(),
  /** Memory of the key-value cache in tokens. */
  memoryTokens: z.number(),
  /** Milliseconds of a step that produces one token for each writer. */
  stepMs: z.number(),
  /** Milliseconds a writer adds to a step. */
  writerMs: z.number(),
  /** Milliseconds that a thousand tokens of a writer's context add to a step. */
  contextMsPerThousand: z.number(),
  /** Prompt tokens read in a second. */
  readTokensPerSecond: z.number(),
  /** Milliseconds for a million pairs of a prompt token and an earlier one. */
  pairMsPerMillion: z.number(),
  /** Most prompt tokens read in a step. */
  chunkTokens: z.number(),
  /** Steps of a pass that has writers. */
  strideSteps: z.number(),
  /** Milliseconds by which reports lag. */
  reportLagMs: z.number(),
});

/** A back-end service. */
export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one upstream accepts from all callers together. */
  maxConnections: z.number(),
  engine: engineSchema.optional(),
});

/** Bounds on what a client may send. */
export const limitsSchema = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});

/** A customer and the keys by which it is known. */
export const customerSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Takes precedence over the route's priority. */
  priority: z.number().optional(),
});

/** Everything that operators set, as one whole. */
export const configurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
  /** Undefined when requests need no key at all. */
  customers: z.array(customerSchema).optional(),
});

export type Route = z.infer<typeof routeSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Limits = z.infer<typeof limitsSchema>;
export type Customer = z.infer<typeof customerSchema>;
export type Configuration = z.infer<typeof configurationSchema>;

/** Turns an operator's document into a configuration. */
export interface ConfigurationCodec {
  /** @throws InvalidConfiguration when the document cannot be read. */
  decode(document: Uint8Array): Configuration;
}
