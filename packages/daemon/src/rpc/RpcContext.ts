import { Code, ConnectError } from '@connectrpc/connect';
import type { Interceptor } from '@connectrpc/connect';
import type { HybridClock } from '@azurecart/telemetry';
import type { Secret } from '../secrets/index.js';

const TIME_HEADER = 'azurecart-time';

/** What the calls of a process carry. */
export interface RpcContextOptions {
  /** Secret that calls made carry, and that calls received must carry. */
  secret: Secret;
  clock: HybridClock;
  /** Secret that is good for the calls of operators only. */
  operatorSecret?: Secret;
}

const OPERATOR_CALLS = new Set(['Submit', 'Status', 'RemoveMember', 'Drain']);

/** What every call between two processes carries: the shared secret and the hybrid time. */
export class RpcContext {
  constructor(private readonly options: RpcContextOptions) {}

  /** Adds secret and time to calls made. */
  readonly clientInterceptor: Interceptor = (next) => async (request) => {
    request.header.set('authorization', this.options.secret.authorization);
    request.header.set(TIME_HEADER, this.options.clock.tick());
    const response = await next(request);
    this.options.clock.observe(response.header.get(TIME_HEADER) ?? undefined);
    return response;
  };

  /** Checks the secret of calls received, and takes their time into account. */
  readonly serverInterceptor: Interceptor = (next) => async (request) => {
    const authorization = request.header.get('authorization');
    if (!this.isAllowed(authorization, request.method.name)) {
      throw new ConnectError('wrong secret for this call', Code.Unauthenticated);
    }
    this.options.clock.observe(request.header.get(TIME_HEADER) ?? undefined);
    const response = await next(request);
    response.header.set(TIME_HEADER, this.options.clock.tick());
    return response;
  };

  private isAllowed(authorization: string | null, call: string): boolean {
    const { secret, operatorSecret } = this.options;
    if (secret.isPresentedBy(authorization)) return true;
    if (!OPERATOR_CALLS.has(call)) return false;
    return operatorSecret?.isPresentedBy(authorization) ?? false;
  }
}
