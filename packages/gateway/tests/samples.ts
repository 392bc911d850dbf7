/** Engine of a service configuration, with realistic performance figures. */
export const ENGINE = {
  capacity: 4,
  kvCacheTokens: 405_000,
  stepMs: 1.31,
  stepMsPerSequence: 0.00133,
  stepMsPerThousandContextTokens: 0.00213,
  prefillTokensPerSecond: 154_000,
  attentionMsPerMillionPairs: 0.162,
  prefillChunkTokens: 2048,
  stepsPerPass: 34,
  reportLagMs: 200,
};
