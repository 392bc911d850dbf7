import { z } from 'zod';

/** Settings of a fake engine. */
export const fakeEngineSchema = z.strictObject({
  kind: z.literal('engine'),
  id: z.string(),
  dataCentre: z.string(),
  pool: z.string(),
  port: z.int(),
  entries: z.array(z.string()).min(1).describe('Base URLs of entry processes, used in rotation'),
  secret: z.string(),
  kvTokens: z.int().default(400_000),
  maxBatch: z.int().default(32),
  prefillTokensPerSecond: z.number().default(40_000),
  decodeStepMs: z.number().default(10),
  chunkMs: z.number().default(20).describe('Prefill time budget of one step'),
  /** Capacity of the prefix cache in blocks of 512 tokens. */
  cacheBlocks: z.int().default(512),
  checksFence: z.boolean().default(true),
  /** Time between the measurement of the load and its first use in announcements. */
  reportLagMs: z.number().default(150),
  gapRate: z.number().default(0).describe('Fraction of cache events that are dropped'),
  strayRate: z
    .number()
    .default(0)
    .describe(
      'Fraction of frames preceded by a stray frame with the previous offset, some under another request id',
    ),
  /** Time to load a model. */
  loadMs: z.number().default(100),
  announceMs: z.number().default(400),
  runFile: z.string().optional().describe('File to which each started request is appended'),
});

export type FakeEngineSettings = z.infer<typeof fakeEngineSchema>;
