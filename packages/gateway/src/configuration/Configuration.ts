import { z } from 'zod';

/** Kinds of requests: they decide whether a retry is safe and whether the response is streamed. */
export const requestKindSchema = z.enum(['idempotent', 'nonIdempotent', 'stream']);

/** A service that receives a share of a route's traffic, in proportion to its weight. */
const backendSchema = z.object({ service: z.string(), weight: z.number().nonnegative() });

/** A route: the requests that it matches, the services behind it and its latency objectives. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: requestKindSchema,
  /** Time limit in milliseconds for the complete response. */
  timeoutMs: z.number(),
  /**
   * Latency objective in milliseconds for the response, or for the first event of a stream; 0 if
   * none. Routes to services with engines need one, since schedulers divide by it; this is not
   * checked, and at 0 the quotients are infinite.
   */
  objectiveMs: z.number(),
  /**
   * Limit in milliseconds for a pause, the time between two events of a stream. 0 does not mean no
   * limit: schedulers then expect every pause to exceed it.
   */
  pauseMs: z.number(),
  /** Milliseconds without an event after which clients leave a stream; undefined if not known. */
  patienceMs: z.number().optional(),
  /** Priority; 0 is the highest. */
  priority: z.number(),
  /** Maximum number of attempts per request, not counting those known not to have executed. */
  maxAttempts: z.number(),
  /** True when requests need no API key. */
  isPublic: z.boolean(),
  /** True when another upstream can resume an interrupted stream. */
  isResumable: z.boolean(),
  /** True when the priority of a request is sent to the upstream. */
  sendsPriority: z.boolean(),
  backends: z.array(backendSchema),
});

/** Published performance figures of a service's inference engines. */
export const engineSchema = z.object({
  /** Maximum number of requests in a batch. */
  capacity: z.number(),
  /** Capacity of the KV cache in tokens. */
  kvCacheTokens: z.number(),
  /** Base duration in milliseconds of a step, which decodes one token per decoding request. */
  stepMs: z.number(),
  /** Milliseconds that each decoding request adds to a step. */
  stepMsPerSequence: z.number(),
  /** Milliseconds that 1000 tokens of context of the decoding requests add to a step. */
  stepMsPerThousandContextTokens: z.number(),
  /** Prefill throughput in prompt tokens per second, without the cost of attention. */
  prefillTokensPerSecond: z.number(),
  /** Attention cost of prefill in milliseconds per million pairs of a token and an earlier one. */
  attentionMsPerMillionPairs: z.number(),
  /** Maximum number of prompt tokens that a step prefills. */
  prefillChunkTokens: z.number(),
  /** Number of steps in a pass; while any request is decoding, events are sent once per pass. */
  stepsPerPass: z.number(),
  /** Delay in milliseconds of the engine's load reports. */
  reportLagMs: z.number(),
});

/** A back-end service. */
export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Maximum number of connections that an upstream accepts from all callers together. */
  maxConnections: z.number(),
  /**
   * Requests per second that a cold upstream bears from all callers together; undefined if cold
   * upstreams have no limit.
   */
  coldRequestsPerSecond: z.number().positive().optional(),
  engine: engineSchema.optional(),
});

/** Limits on client requests and connections. */
export const limitsSchema = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});

/** A customer and the API keys that identify it. */
export const customerSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Overrides the priority of the route. */
  priority: z.number().optional(),
});

/** A complete, versioned configuration. */
export const configurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
  /** Undefined when no route requires an API key. */
  customers: z.array(customerSchema).optional(),
});

export type Route = z.infer<typeof routeSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Limits = z.infer<typeof limitsSchema>;
export type Customer = z.infer<typeof customerSchema>;
export type Configuration = z.infer<typeof configurationSchema>;

/** Decodes the operators' configuration documents. */
export interface ConfigurationCodec {
  /** @throws InvalidConfigurationError when the document cannot be decoded. */
  decode(document: Uint8Array): Configuration;
}
