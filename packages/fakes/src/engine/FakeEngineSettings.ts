import { z } from 'zod';

/** What a fake engine is like. */
export const fakeEngineSchema = z.strictObject({
  kind: z.literal('engine'),
  id: z.string(),
  dataCentre: z.string(),
  pool: z.string(),
  port: z.int(),
  entries: z.array(z.string()).min(1).describe('Base URLs that stand for the balancer'),
  secret: z.string(),
  kvTokens: z.int().default(400_000),
  maxBatch: z.int().default(32),
  prefillTokensPerSecond: z.number().default(40_000),
  decodeStepMs: z.number().default(10),
  chunkMs: z.number().default(20).describe('Longest prefill within one step'),
  cacheBlocks: z.int().default(512),
  checksFence: z.boolean().default(true),
  reportLagMs: z.number().default(150),
  gapRate: z.number().default(0).describe('Share of cache events that are lost'),
  strayRate: z.number().default(0).describe('Share of frames preceded by a late or foreign one'),
  loadMs: z.number().default(100),
  announceMs: z.number().default(400),
  runFile: z.string().optional().describe('File in which each start is noted'),
});

export type FakeEngineSettings = z.infer<typeof fakeEngineSchema>;
