import { Code, ConnectError } from '@connectrpc/connect';
import type { Interceptor } from '@connectrpc/connect';
import type { HybridClock } from '@azurecart/telemetry';
import type { Secret } from '../secrets/index.js';

const TIME_HEADER = 'azurecart-time';

/** What every call between two processes carries: the shared secret and the hybrid time. */
export class RpcContext {
  constructor(
    private readonly secret: Secret,
    private readonly clock: HybridClock,
  ) {}

  /** Adds secret and time to calls made. */
  readonly clientInterceptor: Interceptor = (next) => async (request) => {
    request.header.set('authorization', this.secret.authorization);
    request.header.set(TIME_HEADER, this.clock.tick());
    const response = await next(request);
    this.clock.observe(response.header.get(TIME_HEADER) ?? undefined);
    return response;
  };

  /** Checks the secret of calls received, and takes their time into account. */
  readonly serverInterceptor: Interceptor = (next) => async (request) => {
    if (!this.secret.isPresentedBy(request.header.get('authorization'))) {
      throw new ConnectError('wrong peer secret', Code.Unauthenticated);
    }
    this.clock.observe(request.header.get(TIME_HEADER) ?? undefined);
    const response = await next(request);
    response.header.set(TIME_HEADER, this.clock.tick());
    return response;
  };
}
