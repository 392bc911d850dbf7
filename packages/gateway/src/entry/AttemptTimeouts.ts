import type { Route } from '../configuration/index.js';

/** Times for which an attempt waits for an upstream before the request is retried on another one. */
export interface AttemptTimeouts {
  /** Milliseconds to the first event of a stream, or to the complete response of other requests. */
  firstResponseMs: number;
  /** Milliseconds between two events of a stream. */
  betweenEventsMs: number;
}

/** Multiple of the latency objective after which a complete response is no longer waited for. */
const RESPONSE_OBJECTIVE_FACTOR = 2;
/** The same for the first event of a stream for which there is no scheduler estimate. */
const FIRST_EVENT_OBJECTIVE_FACTOR = 4;
/** The same as a multiple of the scheduler's estimate of the time to the first event. */
const EXPECTED_TIME_FACTOR = 3;
/** Multiple of the route's longest allowed pause after which a stream counts as stalled. */
const PAUSE_FACTOR = 4;
/** Lower bound of stream timeouts in milliseconds: half of the shortest time that clients wait. */
const MIN_STREAM_TIMEOUT_MS = 1000;
/** Lower bound of the timeout for a complete response in milliseconds. */
const MIN_RESPONSE_TIMEOUT_MS = 250;

/** Gets the timeouts for a request, which are well below the time that its client waits. */
export function getAttemptTimeouts(route: Route, expectedMs: number | undefined): AttemptTimeouts {
  if (route.kind !== 'stream') {
    const firstResponseMs = Math.max(
      MIN_RESPONSE_TIMEOUT_MS,
      route.objectiveMs * RESPONSE_OBJECTIVE_FACTOR,
    );
    return { firstResponseMs, betweenEventsMs: firstResponseMs };
  }
  const firstMs =
    expectedMs === undefined
      ? route.objectiveMs * FIRST_EVENT_OBJECTIVE_FACTOR
      : expectedMs * EXPECTED_TIME_FACTOR;
  return {
    firstResponseMs: Math.max(MIN_STREAM_TIMEOUT_MS, firstMs),
    betweenEventsMs: Math.max(MIN_STREAM_TIMEOUT_MS, route.pauseMs * PAUSE_FACTOR),
  };
}
