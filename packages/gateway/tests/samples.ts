/** Engine of a service configuration, with the figures that the users gave. */
export const ENGINE = {
  capacity: 4,
  memoryTokens: 405_000,
  stepMs: 1.31,
  writerMs: 0.00133,
  contextMsPerThousand: 0.00213,
  readTokensPerSecond: 154_000,
  pairMsPerMillion: 0.162,
  chunkTokens: 2048,
  strideSteps: 34,
  reportLagMs: 200,
};
