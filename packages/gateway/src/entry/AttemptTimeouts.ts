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
/**
 * Timeout for the first event: the scheduler's estimate of its time, plus a share of it for the error
 * of the estimate, and the time in milliseconds for which other prompts may delay it.
 */
const EXPECTED_TIME_FACTOR = 1.3;
const EXPECTED_DELAY_MS = 500;
/** Share of the time left, after which a request whose time is not estimated counts as stalled. */
const REMAINING_TIME_SHARE = 0.5;
/** Timeout between events, as a multiple of the route's objective for that interval. */
const PAUSE_FACTOR = 4;
/** Lower bound of stream timeouts in ms. Clients wait at least 2 s; this is half of that. */
const MIN_STREAM_TIMEOUT_MS = 1000;
/** Lower bound of the timeout for a complete response in milliseconds. */
const MIN_RESPONSE_TIMEOUT_MS = 250;

/**
 * Gets the timeouts for an attempt.
 * @param expectedMs - The scheduler's estimate of the time to the first event.
 * @param remainingMs - Time until the deadline of the request.
 */
export function getAttemptTimeouts(
  route: Pick<Route, 'kind' | 'objectiveMs' | 'pauseMs'>,
  expectedMs: number | undefined,
  remainingMs: number,
): AttemptTimeouts {
  if (route.kind !== 'stream') {
    const firstResponseMs = Math.max(
      MIN_RESPONSE_TIMEOUT_MS,
      route.objectiveMs * RESPONSE_OBJECTIVE_FACTOR,
    );
    return { firstResponseMs, betweenEventsMs: firstResponseMs };
  }
  const firstMs =
    expectedMs === undefined
      ? Math.min(
          route.objectiveMs * FIRST_EVENT_OBJECTIVE_FACTOR,
          remainingMs * REMAINING_TIME_SHARE,
        )
      : expectedMs * EXPECTED_TIME_FACTOR + EXPECTED_DELAY_MS;
  return {
    firstResponseMs: Math.max(MIN_STREAM_TIMEOUT_MS, firstMs),
    betweenEventsMs: Math.max(MIN_STREAM_TIMEOUT_MS, route.pauseMs * PAUSE_FACTOR),
  };
}
