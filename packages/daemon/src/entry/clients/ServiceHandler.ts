import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RetryBudget } from '@azurecart/scheduling';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import type { Customer, Outcome, Release, Service } from '@azurecart/protocol';
import type { Invariants, Timeline } from '@azurecart/telemetry';
import type { ControlClient } from '../../rpc/index.js';
import type { Limits } from '../../settings/index.js';
import type { Measures } from '../measures/index.js';
import { getForwardedHeaders, UpstreamError } from '../upstreams/index.js';
import type { ServiceResponse, ServiceRequest, ServiceCalls } from '../upstreams/index.js';
import type { ConfigurationLease } from '../view/index.js';
import type { ApiFault } from './ApiFault.js';
import { createBadRequest, createRefusal, createTimeout, createUnknown } from './apiFaults.js';
import type { Authenticator } from './Authenticator.js';
import type { BodyBudget } from './BodyBudget.js';
import { getDeclaredLength, readBody } from './readBody.js';
import { getTerms } from './requestTerms.js';
import type { ShardChooser } from './ShardChooser.js';

/** What the handler needs. */
export interface ServiceHandlerOptions {
  control: ControlClient;
  chooser: ShardChooser;
  calls: ServiceCalls;
  authenticator: Authenticator;
  lease: ConfigurationLease;
  retries: RetryBudget;
  budget: BodyBudget;
  limits: Limits;
  measures: Measures;
  timeline: Timeline;
  invariants: Invariants;
}

interface PreparedCall {
  id: string;
  service: Service;
  call: Omit<ServiceRequest, 'address' | 'signal'>;
  dueAt: number;
}

const ATTEMPT_LIMIT = 3;
const CONTROL_TIMEOUT_MS = 3000;
/** Longest body that is recorded for repeats of a call. */
const RECORDED_BYTES = 64 * 1024;
const KEY_LIMIT = 200;

/** Passes calls on to plain services; those that may not be repeated run at most once. */
export class ServiceHandler {
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly options: ServiceHandlerOptions) {}

  /** Gets the service whose prefix a path has; undefined when there is none. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- Part of the handler's routing.
  getService(path: string, release: Release): Service | undefined {
    return release.services.find(({ prefix }) => path === prefix || path.startsWith(`${prefix}/`));
  }

  /** Handles a call. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    release: Release,
    service: Service,
  ): Promise<void> {
    const { authenticator, limits, budget } = this.options;
    const arrivedAt = performance.now();
    const customer = authenticator.getCustomerOrThrow(request.headers, release);
    const { priority, deadlineMs } = getTerms(request.headers, customer, release);
    const length = getDeclaredLength(request, limits);
    const giveBack = budget.take(length);
    if (!giveBack) throw createRefusal('body_budget', 'too many long bodies at the moment');
    try {
      const body = await readBody(request, length, limits);
      const timeoutMs = Math.min(deadlineMs, service.timeoutMs);
      const prepared = prepare(request, service, body, arrivedAt + timeoutMs);
      const answer = await this.dispatch(prepared, request, customer);
      this.options.measures.recordOutcome(priority, 'ok', 'completed');
      send(response, answer, prepared.id);
    } finally {
      giveBack();
    }
  }

  private async dispatch(
    prepared: PreparedCall,
    request: IncomingMessage,
    customer: Customer,
  ): Promise<ServiceResponse> {
    this.options.retries.addAttempt();
    const key = request.headers['idempotency-key'];
    if (prepared.call.isIdempotent || key === undefined) return this.attempt(prepared);
    if (typeof key !== 'string' || key.length === 0 || key.length > KEY_LIMIT) {
      throw createBadRequest(`idempotency-key must have 1 to ${KEY_LIMIT} characters`);
    }
    return this.runOnce(prepared, `${customer.name}/${prepared.service.name}/${key}`);
  }

  /** Runs a call under a durable claim: a repeat gets the recorded answer, or "unknown". */
  private async runOnce(prepared: PreparedCall, key: string): Promise<ServiceResponse> {
    const claimant = prepared.id;
    const { call } = prepared;
    const fingerprint = createHash('sha256')
      .update(`${call.method} ${call.path}\n`)
      .update(call.body)
      .digest('hex');
    const claim = await this.claim(key, fingerprint, claimant);
    if (claim.state === 'settled') return replay(claim.outcome);
    if (claim.state === 'mismatch') {
      throw createBadRequest('the idempotency key was used for another call', 'key_reused', 422);
    }
    if (claim.state !== 'granted') {
      throw createUnknown('call_pending', 'an earlier call with this key has no known end', 409);
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
      this.giveBackClaim(key, claimant);
      throw createRefusal('no_claim', 'the call could not be recorded, so it was not sent');
    }
  }

  /** Gives up a claim whose answer was lost, so that the key can be used again. */
  private giveBackClaim(key: string, claimant: string): void {
    const result = { kind: 'not-run' as const, status: 0, contentType: '', body: new Uint8Array() };
    this.settle(key, claimant, result).catch(() => undefined);
  }

  private async runClaimed(prepared: PreparedCall, key: string): Promise<ServiceResponse> {
    const claimant = prepared.id;
    try {
      const answer = await this.attempt(prepared);
      const isShort = answer.body.length <= RECORDED_BYTES;
      await this.settle(key, claimant, {
        kind: 'completed',
        status: answer.status,
        contentType: String(answer.headers['content-type'] ?? ''),
        body: new Uint8Array(isShort ? answer.body : []),
      });
      return answer;
    } catch (error) {
      const outcome = getOutcome(error);
      const result = { kind: outcome, status: 0, contentType: '', body: new Uint8Array() };
      await this.settle(key, claimant, result);
      throw error;
    }
  }

  /** Records how a call ended; without that a repeat is told "unknown", which is safe. */
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

  /** Sends a call, and again elsewhere when it did not run, or may run twice. */
  private async attempt(prepared: PreparedCall): Promise<ServiceResponse> {
    const avoided = new Set<string>();
    let hasRun = false;
    for (let count = 1; ; count += 1) {
      const upstream = this.chooseUpstream(prepared.service, avoided);
      if (!upstream) throw giveUp(hasRun, 'no upstream of the service is known');
      this.checkSending(prepared, hasRun);
      try {
        return await this.callUpstream(prepared, upstream);
      } catch (error) {
        if (!(error instanceof UpstreamError)) throw error;
        avoided.add(upstream.id);
        hasRun ||= error.outcome === 'unknown';
        this.recordFailure(prepared, upstream.id, error);
        const mayRepeat = prepared.call.isIdempotent || !hasRun;
        const isOver = performance.now() >= prepared.dueAt;
        if (isOver) throw createTimeout(hasRun);
        if (!mayRepeat || count >= ATTEMPT_LIMIT || !this.options.retries.takeRetry()) {
          throw giveUp(hasRun, error.message);
        }
        this.options.measures.recordRetry(error.outcome);
      }
    }
  }

  private async callUpstream(
    prepared: PreparedCall,
    upstream: { id: string; address: string },
  ): Promise<ServiceResponse> {
    const { timeline, calls } = this.options;
    const signal = AbortSignal.timeout(Math.max(1, Math.ceil(prepared.dueAt - performance.now())));
    timeline.record('service-sent', { request: prepared.id, upstream: upstream.id });
    this.count(upstream.id, 1);
    try {
      return await calls.send({ ...prepared.call, address: upstream.address, signal });
    } finally {
      this.count(upstream.id, -1);
    }
  }

  /** Chooses between two random upstreams by load and by what was sent to them since. */
  private chooseUpstream(
    service: Service,
    avoided: Set<string>,
  ): { id: string; address: string } | undefined {
    const known = this.options.chooser.getServiceUpstreams(service.name);
    const fresh = known.filter(({ id }) => !avoided.has(id));
    const first = fresh[Math.floor(Math.random() * fresh.length)];
    const second = fresh[Math.floor(Math.random() * fresh.length)];
    if (!first || !second) return undefined;
    const getLoad = ({ id, load }: { id: string; load: number }): number =>
      load + (this.inFlight.get(id) ?? 0);
    return getLoad(first) <= getLoad(second) ? first : second;
  }

  /** A call is sent only while its time and this process's lease last at this very moment. */
  private checkSending({ dueAt }: PreparedCall, hasRun: boolean): void {
    if (performance.now() >= dueAt) throw createTimeout(hasRun);
    if (!this.options.lease.isHeld) throw giveUp(hasRun, 'the configuration lease has ended');
  }

  private recordFailure({ id }: PreparedCall, upstream: string, fault: UpstreamError): void {
    const detail = `${fault.outcome}: ${fault.message}`;
    this.options.timeline.record('service-failed', { request: id, upstream, detail });
  }

  private count(upstream: string, change: number): void {
    this.inFlight.set(upstream, (this.inFlight.get(upstream) ?? 0) + change);
  }
}

function prepare(
  request: IncomingMessage,
  service: Service,
  body: Buffer,
  dueAt: number,
): PreparedCall {
  const rest = (request.url ?? '').slice(service.prefix.length) || '/';
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  const method = request.method ?? 'GET';
  const id = `call-${randomUUID()}`;
  const isIdempotent = isRepeatable(service, method, path);
  const headers = { ...request.headers, 'azurecart-request': id };
  return { id, service, dueAt, call: { method, path, headers, body, isIdempotent } };
}

/** A call that the release does not name may not be repeated, unless its method only reads. */
function isRepeatable(service: Service, method: string, path: string): boolean {
  const bare = path.split('?')[0] ?? '';
  const call = service.calls.find((each) => each.method === method && matches(each.path, bare));
  return call?.idempotent ?? (method === 'GET' || method === 'HEAD');
}

function matches(pattern: string, path: string): boolean {
  if (!pattern.endsWith('*')) return pattern === path;
  return path.startsWith(pattern.slice(0, -1));
}

function getOutcome(error: unknown): Outcome {
  const outcome = (error as ApiFault).options?.outcome;
  return outcome === 'not-run' ? 'not-run' : 'unknown';
}

function replay(
  outcome: { kind: string; status: number; contentType: string; body: Uint8Array } | undefined,
): ServiceResponse {
  if (outcome?.kind !== 'completed') {
    throw createUnknown('call_unknown', 'an earlier call with this key has no known end', 409);
  }
  const headers = { 'content-type': outcome.contentType, 'azurecart-replayed': 'true' };
  return { status: outcome.status, headers, body: Buffer.from(outcome.body) };
}

function send(response: ServerResponse, answer: ServiceResponse, id: string): void {
  response.writeHead(answer.status, {
    ...getForwardedHeaders(answer.headers),
    'content-length': answer.body.length,
    [OUTCOME_HEADER]: 'completed',
    'azurecart-request-id': id,
  });
  response.end(answer.body);
}

function giveUp(hasRun: boolean, message: string): ApiFault {
  return hasRun
    ? createUnknown('upstream_failed', message)
    : createRefusal('upstream_failed', message);
}
