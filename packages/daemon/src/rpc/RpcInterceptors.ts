import { Code, ConnectError } from '@connectrpc/connect';
import type { Interceptor } from '@connectrpc/connect';
import type { HybridClock } from '@azurecart/telemetry';
import type { Secret } from '../secrets/index.js';

const TIME_HEADER = 'azurecart-time';

/** Options of {@link RpcInterceptors}. */
export interface RpcInterceptorsOptions {
  /** Secret sent with outgoing calls and required of incoming ones. */
  secret: Secret;
  clock: HybridClock;
  /** Secret that is also accepted for the methods of operators. */
  operatorSecret?: Secret;
}

const OPERATOR_METHODS = new Set(['Submit', 'Status', 'RemoveMember', 'Drain']);

/**
 * Interceptors that send and check the shared secret of every call, and exchange the time of the
 * hybrid logical clock.
 */
export class RpcInterceptors {
  constructor(private readonly options: RpcInterceptorsOptions) {}

  /** Adds secret and time to outgoing calls, and updates the clock from the response. */
  readonly clientInterceptor: Interceptor = (next) => async (request) => {
    request.header.set('authorization', this.options.secret.authorization);
    request.header.set(TIME_HEADER, this.options.clock.tick());
    const response = await next(request);
    this.options.clock.observe(response.header.get(TIME_HEADER) ?? undefined);
    return response;
  };

  /** Checks the secret of incoming calls, and updates the clock from their time. */
  readonly serverInterceptor: Interceptor = (next) => async (request) => {
    const authorization = request.header.get('authorization');
    if (!this.isAuthorised(authorization, request.method.name)) {
      throw new ConnectError('wrong secret for this call', Code.Unauthenticated);
    }
    this.options.clock.observe(request.header.get(TIME_HEADER) ?? undefined);
    const response = await next(request);
    response.header.set(TIME_HEADER, this.options.clock.tick());
    return response;
  };

  private isAuthorised(authorization: string | null, methodName: string): boolean {
    const { secret, operatorSecret } = this.options;
    if (secret.matchesAuthorization(authorization)) return true;
    if (!OPERATOR_METHODS.has(methodName)) return false;
    return operatorSecret?.matchesAuthorization(authorization) ?? false;
  }
}
