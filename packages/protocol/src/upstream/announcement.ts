import { z } from 'zod';

const nonNegativeNumber = z.number().min(0);

const loadedModelSchema = z.strictObject({
  name: z.string(),
  version: z.string(),
  adapters: z.array(z.string()).default([]),
});

/** Capacity and speed of an engine. */
const engineProfileSchema = z.strictObject({
  /** Capacity of the KV cache in tokens. */
  kvTokens: z.int().min(1),
  /** Maximum number of requests in a batch. */
  maxBatch: z.int().min(1),
  prefillTokensPerSecond: z.number().positive(),
  /** Duration of a decode step with a small batch; estimates use it for batches of any size. */
  decodeStepMs: z.number().positive(),
});

/** Load measured by the upstream before it sent the announcement. */
const loadSchema = z.strictObject({
  /** Age of the measurement when the announcement was sent. */
  ageMs: nonNegativeNumber,
  /** Number of requests that occupy a batch slot; of a service, calls in progress. */
  running: nonNegativeNumber,
  /** Number of prompt tokens not yet processed. */
  queuedTokens: nonNegativeNumber,
});

/** Periodic message by which an upstream registers and renews its registration. */
export const announcementSchema = z.strictObject({
  id: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  /** Identifier of a run of the upstream; new at each start. */
  incarnation: z.string().min(1).max(64),
  /**
   * Increases with each announcement and departure of an incarnation. Cache events have a sequence of
   * their own.
   */
  sequence: z.int().min(0),
  dataCentre: z.string().min(1),
  /** Base URL of the upstream. */
  address: z.url({ protocol: /^http$/ }),
  /** Pool of the engine, or name of the service. */
  pool: z.string().min(1),
  kind: z.enum(['engine', 'service']),
  engine: engineProfileSchema.optional(),
  load: loadSchema.optional(),
});

/** Message of an upstream that leaves; it is sent no further requests. */
export const departureSchema = z.strictObject({
  id: z.string().min(1),
  incarnation: z.string().min(1),
  sequence: z.int().min(0),
  dataCentre: z.string().min(1),
});

/**
 * Changes of the prefix cache of an engine. Consecutive messages of an incarnation have consecutive
 * numbers, so that missing ones are detected.
 */
export const cacheEventsSchema = z.strictObject({
  id: z.string().min(1),
  incarnation: z.string().min(1),
  dataCentre: z.string().min(1),
  sequence: z.int().min(0),
  added: z.array(z.string()).max(10_000),
  removed: z.array(z.string()).max(10_000),
});

export type Announcement = z.infer<typeof announcementSchema>;
export type Departure = z.infer<typeof departureSchema>;
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
export type EngineProfile = z.infer<typeof engineProfileSchema>;
export type LoadedModel = z.infer<typeof loadedModelSchema>;
export { loadedModelSchema };
