import { ApiError } from './ApiError.js';

const NOT_RUN = 'not-run' as const;
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Creates the error for an invalid request. */
export function createBadRequest(
  message: string,
  code = 'invalid_request',
  status = 400,
): ApiError {
  return new ApiError({ status, type: 'invalid_request_error', code, message, outcome: NOT_RUN });
}

/** Creates the error for a missing or unknown API key. */
export function createUnauthenticated(): ApiError {
  return new ApiError({
    status: 401,
    type: 'authentication_error',
    code: 'invalid_api_key',
    message: 'the API key is missing or unknown',
    outcome: NOT_RUN,
  });
}

/** Creates the error for a model that is not in the release or not allowed for the customer. */
export function createModelNotFound(model: string): ApiError {
  return createBadRequest(`no such model: ${model.slice(0, 100)}`, 'model_not_found', 404);
}

/** Creates the error for a request that cannot be served now and did not run. */
export function createUnavailable(
  code: string,
  message: string,
  retryAfterMs = DEFAULT_RETRY_AFTER_MS,
): ApiError {
  const type = 'overloaded_error';
  return new ApiError({ status: 503, type, code, message, outcome: NOT_RUN, retryAfterMs });
}

/** Creates the error for a request that may have run. */
export function createUnknownOutcome(code: string, message: string, status = 502): ApiError {
  return new ApiError({ status, type: 'upstream_error', code, message, outcome: 'unknown' });
}

/** Creates the error for a request that did not end by its deadline. */
export function createDeadlineExceeded(mayHaveRun: boolean): ApiError {
  return new ApiError({
    status: 504,
    type: 'timeout_error',
    code: 'deadline_exceeded',
    message: 'the request was not finished by its deadline',
    outcome: mayHaveRun ? 'unknown' : NOT_RUN,
  });
}
