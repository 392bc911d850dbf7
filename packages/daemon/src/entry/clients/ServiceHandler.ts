import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RetryBudget } from '@azurecart/scheduling';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import type { Customer, Outcome, Release, Service } from '@azurecart/protocol';
import type { Invariants, Timeline } from '@azurecart/telemetry';
import type { ControlClient } from '../../rpc/index.js';
import type { Limits } from '../../settings/index.js';
import type { EntryMetrics } from '../metrics/index.js';
import { getForwardedHeaders, UpstreamError } from '../upstreams/index.js';
import type { ServiceClient, ServiceRequest, ServiceResponse } from '../upstreams/index.js';
import type { ConfigurationLease } from '../view/index.js';
import type { ApiError } from './ApiError.js';
import {
  createBadRequest,
  createDeadlineExceeded,
  createUnavailable,
  createUnknownOutcome,
} from './apiErrors.js';
import type { Authenticator } from './Authenticator.js';
import type { BodyBudget } from './BodyBudget.js';
import { getDeclaredLength, readBody } from './readBody.js';
import { getRequestQos } from './requestQos.js';
import type { ShardChooser } from './ShardChooser.js';

export interface ServiceHandlerOptions {
  control: ControlClient;
  chooser: ShardChooser;
  serviceClient: ServiceClient;
  authenticator: Authenticator;
  lease: ConfigurationLease;
  retryBudget: RetryBudget;
  bodyBudget: BodyBudget;
  limits: Limits;
  metrics: EntryMetrics;
  timeline: Timeline;
  invariants: Invariants;
}

interface PreparedRequest {
  id: string;
  service: Service;
  serviceRequest: Omit<ServiceRequest, 'address' | 'signal'>;
  deadlineAt: number;
}

const MAX_ATTEMPTS = 3;
const CONTROL_TIMEOUT_MS = 3000;
/** If a response body is longer, a repeated request gets the recorded status with an empty body. */
const MAX_RECORDED_BODY_BYTES = 64 * 1024;
const MAX_KEY_LENGTH = 200;

/** Forwards requests to plain services; requests that are not idempotent run at most once. */
export class ServiceHandler {
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly options: ServiceHandlerOptions) {}

  /** Gets the service whose prefix matches a path; undefined when there is none. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- Part of the handler's routing.
  getService(path: string, release: Release): Service | undefined {
    return release.services.find(({ prefix }) => path === prefix || path.startsWith(`${prefix}/`));
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    release: Release,
    service: Service,
  ): Promise<void> {
    const { authenticator, limits, bodyBudget: budget } = this.options;
    const arrivedAt = performance.now();
    const customer = authenticator.getCustomerOrThrow(request.headers, release);
    const { priority, deadlineMs } = getRequestQos(request.headers, customer, release);
    const length = getDeclaredLength(request, limits);
    const releaseBudget = budget.acquire(length);
    if (!releaseBudget)
      throw createUnavailable('body_budget', 'too many long bodies at the moment');
    try {
      const body = await readBody(request, length, limits);
      const timeoutMs = Math.min(deadlineMs, service.timeoutMs);
      const prepared = prepareRequest(request, service, body, arrivedAt + timeoutMs);
      const upstreamResponse = await this.dispatch(prepared, request, customer);
      this.options.metrics.recordOutcome(priority, 'ok', 'completed');
      send(response, upstreamResponse, prepared.id);
    } finally {
      releaseBudget();
    }
  }

  private async dispatch(
    prepared: PreparedRequest,
    request: IncomingMessage,
    customer: Customer,
  ): Promise<ServiceResponse> {
    this.options.retryBudget.addAttempt();
    const key = request.headers['idempotency-key'];
    if (prepared.serviceRequest.isIdempotent || key === undefined)
      return this.sendWithRetries(prepared);
    if (typeof key !== 'string' || key.length === 0 || key.length > MAX_KEY_LENGTH) {
      throw createBadRequest(`idempotency-key must have 1 to ${MAX_KEY_LENGTH} characters`);
    }
    return this.runAtMostOnce(prepared, `${customer.name}/${prepared.service.name}/${key}`);
  }

  /**
   * Sends a request under a durable claim of its idempotency key. A repeat gets the recorded
   * response, or an error with the outcome `unknown` if the request has no recorded end.
   */
  private async runAtMostOnce(prepared: PreparedRequest, key: string): Promise<ServiceResponse> {
    const claimant = prepared.id;
    const { serviceRequest } = prepared;
    const fingerprint = createHash('sha256')
      .update(`${serviceRequest.method} ${serviceRequest.path}\n`)
      .update(serviceRequest.body)
      .digest('hex');
    const claim = await this.claim(key, fingerprint, claimant);
    if (claim.state === 'settled') return replayOutcome(claim.outcome);
    if (claim.state === 'mismatch') {
      throw createBadRequest('the idempotency key was used for another call', 'key_reused', 422);
    }
    // The earlier request is still running, or its end could not be recorded.
    if (claim.state !== 'granted') {
      throw createUnknownOutcome(
        'call_pending',
        'an earlier call with this key has no known end',
        409,
      );
    }
    return this.runClaimed(prepared, key);
  }

  private async claim(key: string, fingerprint: string, claimant: string) {
    const request = { key, fingerprint, claimant };
    try {
      return await this.options.control.call((client, options) => client.claim(request, options), {
        timeoutMs: CONTROL_TIMEOUT_MS,
      });
    } catch {
      this.releaseClaim(key, claimant);
      throw createUnavailable('no_claim', 'the call could not be recorded, so it was not sent');
    }
  }

  /** Settles a claim whose response was lost as not run, so that the key can be used again. */
  private releaseClaim(key: string, claimant: string): void {
    const result = { kind: 'not-run' as const, status: 0, contentType: '', body: new Uint8Array() };
    this.settle(key, claimant, result).catch(() => undefined);
  }

  private async runClaimed(prepared: PreparedRequest, key: string): Promise<ServiceResponse> {
    const claimant = prepared.id;
    try {
      const response = await this.sendWithRetries(prepared);
      const isRecordable = response.body.length <= MAX_RECORDED_BODY_BYTES;
      await this.settle(key, claimant, {
        kind: 'completed',
        status: response.status,
        contentType: String(response.headers['content-type'] ?? ''),
        body: new Uint8Array(isRecordable ? response.body : []),
      });
      return response;
    } catch (error) {
      const outcome = getOutcome(error);
      const result = { kind: outcome, status: 0, contentType: '', body: new Uint8Array() };
      await this.settle(key, claimant, result);
      throw error;
    }
  }

  /**
   * Records how a request ended. A failure is ignored: repeats then get the outcome `unknown`,
   * which is safe.
   */
  private async settle(
    key: string,
    claimant: string,
    outcome: { kind: Outcome; status: number; contentType: string; body: Uint8Array<ArrayBuffer> },
  ): Promise<void> {
    const request = { key, claimant, outcome };
    await this.options.control
      .call((client, options) => client.settle(request, options), { timeoutMs: CONTROL_TIMEOUT_MS })
      .catch(() => undefined);
  }

  /** Sends a request, and retries on other upstreams if it did not run or is idempotent. */
  private async sendWithRetries(prepared: PreparedRequest): Promise<ServiceResponse> {
    const failedUpstreams = new Set<string>();
    let mayHaveRun = false;
    for (let attempt = 1; ; attempt += 1) {
      const upstream = this.chooseUpstream(prepared.service, failedUpstreams);
      // No upstream is known, or all known ones have failed. Clients get the same message in both
      // cases.
      if (!upstream) throw toApiError(mayHaveRun, 'no upstream of the service is known');
      this.checkMaySend(prepared, mayHaveRun);
      try {
        return await this.sendToUpstream(prepared, upstream);
      } catch (error) {
        if (!(error instanceof UpstreamError)) throw error;
        failedUpstreams.add(upstream.id);
        mayHaveRun ||= error.outcome === 'unknown';
        this.recordFailure(prepared, upstream.id, error);
        const mayRetry = prepared.serviceRequest.isIdempotent || !mayHaveRun;
        const isPastDeadline = performance.now() >= prepared.deadlineAt;
        if (isPastDeadline) throw createDeadlineExceeded(mayHaveRun);
        if (!mayRetry || attempt >= MAX_ATTEMPTS || !this.options.retryBudget.takeRetry()) {
          throw toApiError(mayHaveRun, error.message);
        }
        this.options.metrics.recordRetry(error.outcome);
      }
    }
  }

  private async sendToUpstream(
    prepared: PreparedRequest,
    upstream: { id: string; address: string },
  ): Promise<ServiceResponse> {
    const { timeline, serviceClient } = this.options;
    const signal = AbortSignal.timeout(
      Math.max(1, Math.ceil(prepared.deadlineAt - performance.now())),
    );
    timeline.record('service-sent', { request: prepared.id, upstream: upstream.id });
    this.adjustInFlight(upstream.id, 1);
    try {
      return await serviceClient.send({
        ...prepared.serviceRequest,
        address: upstream.address,
        signal,
      });
    } finally {
      this.adjustInFlight(upstream.id, -1);
    }
  }

  /**
   * Chooses the less loaded of two random upstreams, by reported load and requests in flight. Both
   * draws may be the same upstream.
   */
  private chooseUpstream(
    service: Service,
    failedUpstreams: Set<string>,
  ): { id: string; address: string } | undefined {
    const upstreams = this.options.chooser.getServiceUpstreams(service.name);
    const candidates = upstreams.filter(({ id }) => !failedUpstreams.has(id));
    const first = candidates[Math.floor(Math.random() * candidates.length)];
    const second = candidates[Math.floor(Math.random() * candidates.length)];
    if (!first || !second) return undefined;
    const getLoad = ({ id, load }: { id: string; load: number }): number =>
      load + (this.inFlight.get(id) ?? 0);
    return getLoad(first) <= getLoad(second) ? first : second;
  }

  /** Checks, immediately before sending, the deadline and this process's configuration lease. */
  private checkMaySend({ deadlineAt }: PreparedRequest, mayHaveRun: boolean): void {
    if (performance.now() >= deadlineAt) throw createDeadlineExceeded(mayHaveRun);
    if (!this.options.lease.isHeld)
      throw toApiError(mayHaveRun, 'the configuration lease has ended');
  }

  private recordFailure({ id }: PreparedRequest, upstream: string, error: UpstreamError): void {
    const detail = `${error.outcome}: ${error.message}`;
    this.options.timeline.record('service-failed', { request: id, upstream, detail });
  }

  private adjustInFlight(upstream: string, change: number): void {
    this.inFlight.set(upstream, (this.inFlight.get(upstream) ?? 0) + change);
  }
}

function prepareRequest(
  request: IncomingMessage,
  service: Service,
  body: Buffer,
  deadlineAt: number,
): PreparedRequest {
  const suffix = (request.url ?? '').slice(service.prefix.length) || '/';
  const path = suffix.startsWith('/') ? suffix : `/${suffix}`;
  const method = request.method ?? 'GET';
  const id = `call-${randomUUID()}`;
  const isIdempotent = isIdempotentCall(service, method, path);
  const headers = { ...request.headers, 'azurecart-request': id };
  return { id, service, deadlineAt, serviceRequest: { method, path, headers, body, isIdempotent } };
}

/** A call that the release does not list counts as idempotent only if its method is GET or HEAD. */
function isIdempotentCall(service: Service, method: string, path: string): boolean {
  const pathname = path.split('?')[0] ?? '';
  const call = service.calls.find(
    (each) => each.method === method && matchesPathPattern(each.path, pathname),
  );
  return call?.idempotent ?? (method === 'GET' || method === 'HEAD');
}

function matchesPathPattern(pattern: string, path: string): boolean {
  if (!pattern.endsWith('*')) return pattern === path;
  return path.startsWith(pattern.slice(0, -1));
}

function getOutcome(error: unknown): Outcome {
  const outcome = (error as ApiError).options?.outcome;
  return outcome === 'not-run' ? 'not-run' : 'unknown';
}

function replayOutcome(
  outcome: { kind: string; status: number; contentType: string; body: Uint8Array } | undefined,
): ServiceResponse {
  // The earlier request has ended, but it is not known whether it ran.
  if (outcome?.kind !== 'completed') {
    throw createUnknownOutcome(
      'call_unknown',
      'an earlier call with this key has no known end',
      409,
    );
  }
  const headers = { 'content-type': outcome.contentType, 'azurecart-replayed': 'true' };
  return { status: outcome.status, headers, body: Buffer.from(outcome.body) };
}

function send(response: ServerResponse, upstreamResponse: ServiceResponse, id: string): void {
  response.writeHead(upstreamResponse.status, {
    ...getForwardedHeaders(upstreamResponse.headers),
    'content-length': upstreamResponse.body.length,
    [OUTCOME_HEADER]: 'completed',
    'azurecart-request-id': id,
  });
  response.end(upstreamResponse.body);
}

function toApiError(mayHaveRun: boolean, message: string): ApiError {
  return mayHaveRun
    ? createUnknownOutcome('upstream_failed', message)
    : createUnavailable('upstream_failed', message);
}
