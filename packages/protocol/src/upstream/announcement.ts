import { z } from 'zod';

const count = z.number().min(0);

const loadedModelSchema = z.strictObject({
  name: z.string(),
  version: z.string(),
  adapters: z.array(z.string()).default([]),
});

/** What an engine can do. */
const engineSchema = z.strictObject({
  /** KV cache memory in tokens. */
  kvTokens: z.int().min(1),
  /** Requests that may run in one batch. */
  maxBatch: z.int().min(1),
  prefillTokensPerSecond: z.number().positive(),
  /** Time of a decode step of a small batch. */
  decodeStepMs: z.number().positive(),
});

/** Load as the upstream measured it, some time ago. */
const loadSchema = z.strictObject({
  /** Age of the measurement when it was sent. */
  ageMs: count,
  running: count,
  /** Prompt tokens not yet processed. */
  queuedTokens: count,
});

/** An upstream makes itself known and stays known by repeating this. */
export const announcementSchema = z.strictObject({
  id: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  /** New at each start of the upstream. */
  incarnation: z.string().min(1).max(64),
  /** Grows with each message of an incarnation. */
  sequence: z.int().min(0),
  dataCentre: z.string().min(1),
  /** Base URL by which the upstream is reached. */
  address: z.url({ protocol: /^http$/ }),
  /** Pool of engines, or name of the service. */
  pool: z.string().min(1),
  kind: z.enum(['engine', 'service']),
  engine: engineSchema.optional(),
  load: loadSchema.optional(),
});

/** An upstream leaves: it gets no new work. */
export const departureSchema = z.strictObject({
  id: z.string().min(1),
  incarnation: z.string().min(1),
  sequence: z.int().min(0),
  dataCentre: z.string().min(1),
});

/** Changes of an engine's prefix cache, numbered so that gaps show. */
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
export type EngineProfile = z.infer<typeof engineSchema>;
export type LoadedModel = z.infer<typeof loadedModelSchema>;
export { loadedModelSchema };
