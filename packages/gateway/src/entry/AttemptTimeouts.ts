import type { Route } from '../configuration/index.js';

/** Times for which an attempt waits for an upstream before the request is retried on another one. */
export interface AttemptTimeouts {
  /** Milliseconds to the first event of a stream, or to the complete response of other requests. */
  firstResponseMs: number;
  /** Milliseconds between two events of a stream. */
  betweenEventsMs: number;
}

/** Timeout for a complete response, as a multiple of the latency objective. */
const RESPONSE_OBJECTIVE_FACTOR = 2;
/**
 * Timeout for the first event if the scheduler gave no estimate, as a multiple of the latency
 * objective.
 */
const FIRST_EVENT_OBJECTIVE_FACTOR = 4;
/** Timeout for the first event, as a multiple of the scheduler's estimate of its time. */
const EXPECTED_TIME_FACTOR = 3;
/** Timeout between events, as a multiple of the route's objective for that interval. */
const PAUSE_FACTOR = 4;
/** Lower bound of stream timeouts in ms. Clients wait at least 2 s; this is half of that. */
const MIN_STREAM_TIMEOUT_MS = 1000;
/** Lower bound of the timeout for a complete response in milliseconds. */
const MIN_RESPONSE_TIMEOUT_MS = 250;

/** Gets the timeouts for a request; its deadline, which applies as well, is not considered. */
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
