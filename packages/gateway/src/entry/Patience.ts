import type { Route } from '../configuration/index.js';

/** How long an attempt waits for an upstream before the request goes to another one. */
export interface Patience {
  /** Milliseconds to the first event of a stream, or to the whole answer. */
  firstMs: number;
  /** Milliseconds between two events. */
  pauseMs: number;
}

/** Objectives after which a whole answer is given up. */
const WHOLE_OBJECTIVES = 2;
/** Objectives after which a first event is given up when no scheduler expects one. */
const FIRST_OBJECTIVES = 4;
/** Expected times after which a first event is given up. */
const EXPECTED_TIMES = 3;
/** Pauses after which a stream is given up. */
const PAUSES = 4;
/** Shortest patience with a stream in milliseconds; half of what clients have at least. */
const LEAST_STREAM_MS = 1000;
/** Shortest patience with a whole answer in milliseconds. */
const LEAST_WHOLE_MS = 250;

/** Gets the patience with a request, which is well below that of its client. */
export function getPatience(route: Route, expectedMs: number | undefined): Patience {
  if (route.kind !== 'stream') {
    const firstMs = Math.max(LEAST_WHOLE_MS, route.objectiveMs * WHOLE_OBJECTIVES);
    return { firstMs, pauseMs: firstMs };
  }
  const firstMs =
    expectedMs === undefined ? route.objectiveMs * FIRST_OBJECTIVES : expectedMs * EXPECTED_TIMES;
  return {
    firstMs: Math.max(LEAST_STREAM_MS, firstMs),
    pauseMs: Math.max(LEAST_STREAM_MS, route.pauseMs * PAUSES),
  };
}
