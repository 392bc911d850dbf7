import { ApiFault } from './ApiFault.js';

const NOT_RUN = 'not-run' as const;

/** Creates the error of a request that is wrong in itself. */
export function createBadRequest(
  message: string,
  code = 'invalid_request',
  status = 400,
): ApiFault {
  return new ApiFault({ status, type: 'invalid_request_error', code, message, outcome: NOT_RUN });
}

/** Creates the error of a missing or wrong API key. */
export function createUnauthenticated(): ApiFault {
  return new ApiFault({
    status: 401,
    type: 'authentication_error',
    code: 'invalid_api_key',
    message: 'the API key is missing or unknown',
    outcome: NOT_RUN,
  });
}

/** Creates the error of a model that is not in the release, or not for this customer. */
export function createUnknownModel(model: string): ApiFault {
  return createBadRequest(`no such model: ${model.slice(0, 100)}`, 'model_not_found', 404);
}

/** Creates the refusal of a request that cannot be served now. */
export function createRefusal(code: string, message: string, retryAfterMs = 1000): ApiFault {
  const type = 'overloaded_error';
  return new ApiFault({ status: 503, type, code, message, outcome: NOT_RUN, retryAfterMs });
}

/** Creates the error of a request that may have run. */
export function createUnknown(code: string, message: string, status = 502): ApiFault {
  return new ApiFault({ status, type: 'upstream_error', code, message, outcome: 'unknown' });
}

/** Creates the error of a request whose time is over. */
export function createTimeout(hasRun: boolean): ApiFault {
  return new ApiFault({
    status: 504,
    type: 'timeout_error',
    code: 'deadline_exceeded',
    message: 'the request was not finished by its deadline',
    outcome: hasRun ? 'unknown' : NOT_RUN,
  });
}
