import type { Checks } from '../prove/Checks.js';
import { getCallAnswer } from '../runner/index.js';
import { BOUNDS } from './Bounds.js';
import { isRepeatable } from './configuration.js';
import { CORE } from './Disturbances.js';
import type { Disturbances } from './Disturbances.js';
import type { RunnerRequest } from './RunnerFleet.js';
import { checkStream } from './checkStream.js';
import { formatParts, HANG_UP } from './SoakClient.js';
import type { SoakRequest, SoakResult } from './SoakClient.js';

/** A request of a client, its result and what the runners received for it. */
interface Attempt {
  request: SoakRequest;
  entry: string;
  sentAt: number;
  result?: SoakResult;
  runs: RunnerRequest[];
  isJudged: boolean;
}

/** A request that a runner has received, and the entry process that sent it. */
export interface Arrival {
  entry: string;
  request: SoakRequest;
  /** Monotonic time at which the client sent the request. */
  sentAt: number;
  run: RunnerRequest;
}

/** SIGTERM or SIGHUP of an entry process. */
export interface PlannedSignal {
  signal: 'SIGTERM' | 'SIGHUP';
  entry: string;
  lifetime: number;
  sentAt: number;
}

/** Options of {@link RequestChecks}. */
export interface RequestChecksOptions {
  checks: Checks;
  disturbances: Disturbances;
  graceMs: number;
  signals: PlannedSignal[];
  startedAt: number;
}

/** Counts of a promise that allows a share of exceptions. */
interface Tally {
  total: number;
  broken: string[];
}

/** Statuses which promise that the request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const DENIAL_STATUSES = [401, 403, 404];
/** Time after the end of a request at which its runs are checked; later runs are checked as they come. */
const SETTLE_MS = 1500;
const EVENT_MS = 40;
const EXIT_SLACK_MS = 1000;
/** Kinds of disturbances that are planned. */
export const PLANNED_KINDS = ['SIGTERM', 'restart'];

/** Checks what clients and runners saw of each request. */
export class RequestChecks {
  readonly results: Record<string, number> = {};

  private readonly attempts = new Map<string, Attempt>();

  private readonly open = new Set<Attempt>();

  private readonly tallies = {
    overdue: createTally(),
    keptCut: createTally(),
    attemptsExceeded: createTally(),
    deadlineExtended: createTally(),
    runAfterLeaving: createTally(),
    sentAfterLeaving: createTally(),
    deniedInTouch: createTally(),
    denied: createTally(),
  };

  constructor(private readonly options: RequestChecksOptions) {}

  addRequest(request: SoakRequest, entry: string): void {
    const attempt = { request, entry, sentAt: performance.now(), runs: [], isJudged: false };
    this.attempts.set(request.id, attempt);
    this.open.add(attempt);
  }

  addResult(result: SoakResult): void {
    const attempt = this.attempts.get(result.id);
    if (attempt) Object.assign(attempt, { result });
    const name = result.ending === 'answered' ? String(result.status) : result.ending;
    const key = `${result.route.kind} ${name}`;
    this.results[key] = (this.results[key] ?? 0) + 1;
  }

  /** Gets the share of the requests sent in a period that were answered with success. */
  getServedShare(from: number, to = Infinity): number {
    const sent = [...this.attempts.values()].filter(
      ({ sentAt, result }) => sentAt >= from && sentAt < to && result?.ending !== 'left',
    );
    return sent.filter(({ result }) => isSuccess(result)).length / Math.max(1, sent.length);
  }

  /** Gets what runners have received, with the entry processes that sent it. */
  getArrivals(): Arrival[] {
    return [...this.attempts.values()].flatMap(({ entry, request, sentAt, runs }) =>
      runs.map((run) => ({ entry, request, sentAt, run })),
    );
  }

  /** Checks requests as they arrive at runners. */
  addRuns(runs: RunnerRequest[]): void {
    runs.forEach((run) => {
      const attempt = this.attempts.get(String(run.record.headers['x-attempt-id']));
      this.check('request-unchanged', attempt !== undefined && isUnchanged(attempt, run), () =>
        this.describe(attempt, `${run.record.method} ${run.record.path} at ${run.lifetime.slot}`),
      );
      if (!attempt) return;
      attempt.runs.push(run);
      this.checkArrival(attempt, run);
      if (attempt.isJudged) this.checkRunCount(attempt);
    });
  }

  /** Checks the requests that have ended. */
  evaluate(now = performance.now()): void {
    this.open.forEach((attempt) => {
      if (!attempt.result || attempt.result.endedAt + SETTLE_MS > now) return;
      Object.assign(attempt, { isJudged: true });
      this.open.delete(attempt);
      this.judge(attempt, attempt.result);
    });
  }

  /** Checks the promises that hold for all requests together. */
  finish(): void {
    this.evaluate(Infinity);
    const { tallies } = this;
    this.checkShare('answered-by-the-timeout', tallies.overdue, 0.25, 7);
    this.checkShare('kept-connection-not-cut', tallies.keptCut, 0, 3);
    this.checkShare('attempts-within-the-limit', tallies.attemptsExceeded, 0, 3);
    this.checkShare('deadline-not-extended', tallies.deadlineExtended, 0.2, 20);
    this.checkShare('runner-stops-after-client-left', tallies.runAfterLeaving, 0.25, 0);
    this.checkShare('nothing-sent-after-client-left', tallies.sentAfterLeaving, 0, 3);
    const { deniedInTouch } = tallies;
    this.checkShare('allowed-request-not-denied', deniedInTouch, 0, 5 + deniedInTouch.total / 500);
    this.checkShare('allowed-request-not-denied-out-of-touch', tallies.denied, 0, 10);
    this.checkRetryBudget();
  }

  private checkArrival(attempt: Attempt, { lifetime, record }: RunnerRequest): void {
    const { disturbances } = this.options;
    const { request, sentAt } = attempt;
    this.check('route-allowed', lifetime.service === request.route.service, () =>
      this.describe(attempt, `run by ${lifetime.service}`),
    );
    const inTouch = disturbances.areInTouch(
      [attempt.entry, CORE, lifetime.slot],
      sentAt,
      record.receivedAt,
    );
    const acknowledgedAt = lifetime.departureAcknowledgedAt;
    if (inTouch && acknowledgedAt !== undefined) {
      const sinceMs = record.receivedAt - acknowledgedAt;
      const wasInTouch = disturbances.areInTouch([CORE], acknowledgedAt, acknowledgedAt);
      this.check('departed-runner-gets-nothing', !wasInTouch || sinceMs <= BOUNDS.drainMs, () =>
        this.describe(attempt, `${lifetime.slot} ${Math.round(sinceMs)} ms after its departure`),
      );
    }
    if (!inTouch) return;
    const remainingMs = request.route.deadlineMs - (record.receivedAt - sentAt);
    const passedOnMs = Number(record.headers['x-deadline-ms'] ?? Infinity);
    const isExtended = passedOnMs > remainingMs + BOUNDS.deadlineSlackMs;
    this.count('deadlineExtended', isExtended, () =>
      this.describe(attempt, `${passedOnMs} ms of ${Math.round(remainingMs)} ms`),
    );
  }

  private judge(attempt: Attempt, result: SoakResult): void {
    this.checkRunCount(attempt);
    this.checkAnswer(attempt, result);
    this.checkCut(attempt, result);
    this.checkTimes(attempt, result);
    this.checkDenial(attempt, result);
    const runners = new Set(
      attempt.runs
        .filter(({ record, lifetime }) => record.ending !== 'rejected' && !lifetime.hasCrashed)
        .map(({ lifetime }) => lifetime),
    );
    this.count('attemptsExceeded', runners.size > result.route.maxAttempts, () =>
      this.describe(attempt, `${runners.size} runners`),
    );
  }

  private checkRunCount(attempt: Attempt): void {
    const { request, result } = attempt;
    if (isRepeatable(request.route)) return;
    const count = getRuns(attempt).length;
    this.check('at-most-one-run', count <= 1, () => this.describe(attempt, `${count} runs`));
    const isRefused =
      result?.ending === 'answered' && NOT_RUN_STATUSES.includes(result.status) && count > 0;
    this.check('refused-did-not-run', !isRefused, () => this.describe(attempt, `${count} runs`));
  }

  private checkAnswer(attempt: Attempt, result: SoakResult): void {
    const { id, status, answer, ending, headers, route, body, tokens } = result;
    const signature = headers['x-response-signature'];
    const signers = attempt.runs.filter(({ lifetime }) => lifetime.runner.id === signature);
    const seen = (): string => this.describe(attempt, answer.slice(0, 120));
    const isBrokenOff = attempt.runs.some(({ record }) => record.ending === 'brokenOff');
    this.check('answer-well-formed', ending !== 'malformed' || isBrokenOff, seen);
    if (status === 0) return;
    if (status >= 300) {
      const isOwn = signature === undefined;
      const isSame = signers.some(({ record }) => record.ending === 'failed' && status === 500);
      this.check('failure-as-sent', isOwn || isSame, seen);
      return;
    }
    const isSigned =
      headers['x-attempt-id'] === id &&
      signers.some(({ record }) => !['failed', 'rejected'].includes(record.ending));
    this.check('answer-of-this-request', isSigned, seen);
    if (tokens) {
      const problem = checkStream(result);
      this.check('stream-in-order', problem === undefined, () =>
        this.describe(attempt, problem ?? ''),
      );
    } else if (route && ending === 'answered')
      this.check('answer-complete', answer === getCallAnswer(id, body), seen);
  }

  /** Checks a connection that ended without a complete answer. */
  private checkCut(attempt: Attempt, result: SoakResult): void {
    const { entry, sentAt, endedAt, isKeptConnection, route, flushedAt } = result;
    const { disturbances } = this.options;
    const isCut = result.ending === 'cut';
    const { runs } = attempt;
    const isBrokenOff = runs.some(({ record }) => record.ending === 'brokenOff');
    const isOverdue = endedAt - sentAt >= Math.min(route.timeoutMs, route.deadlineMs) - 50;
    const targets = [entry, CORE, ...runs.map(({ lifetime }) => lifetime.slot)];
    if (isKeptConnection && disturbances.areInTouch(targets, sentAt, endedAt))
      this.count('keptCut', isCut && runs.length > 0 && !isBrokenOff && !isOverdue, () =>
        this.describe(attempt, 'cut'),
      );
    const signal = this.findSignal(result);
    if (!signal || !disturbances.areInTouch(targets, sentAt, endedAt, PLANNED_KINDS)) return;
    // The kernel resets a connection whose process has not read all that was sent.
    const isHeld =
      !result.isRelayed &&
      result.error === HANG_UP &&
      flushedAt !== undefined &&
      disturbances.getMsWithoutPauses(flushedAt, endedAt) > BOUNDS.lossSlackMs;
    const isReadAndCut = isCut && (runs.length > 0 || isHeld);
    const isLongRun = this.options.signals.some(
      (other) =>
        other.signal === 'SIGTERM' &&
        other.entry === entry &&
        other.lifetime === result.lifetime &&
        sentAt <= other.sentAt + 3000 &&
        runs.some(
          ({ record }) =>
            (record.endedAt ?? Infinity) >= other.sentAt + (this.options.graceMs * 5) / 6,
        ),
    );
    const isLost = isReadAndCut && !isBrokenOff && !isOverdue && !isLongRun;
    this.check('nothing-lost-around-planned-work', !isLost, () =>
      this.describe(
        attempt,
        `${signal.signal}: sent ${Math.round(sentAt - signal.sentAt)} ms after it, cut after ${Math.round(endedAt - sentAt)} ms`,
      ),
    );
  }

  /** Finds the signal around which a request may not be lost. */
  private findSignal({ entry, lifetime, sentAt, endedAt }: SoakResult): PlannedSignal | undefined {
    const { signals, graceMs } = this.options;
    return signals.findLast((signal) => {
      if (signal.entry !== entry || signal.lifetime !== lifetime) return false;
      if (endedAt < signal.sentAt) return false;
      return signal.signal === 'SIGTERM'
        ? endedAt <= signal.sentAt + graceMs + EXIT_SLACK_MS
        : sentAt <= signal.sentAt + BOUNDS.configurationApplyMs;
    });
  }

  /** Checks the time limit, and what is done for clients that have left. */
  private checkTimes(attempt: Attempt, result: SoakResult): void {
    const { route, sentAt, endedAt, ending, entry } = result;
    const { runs } = attempt;
    const { disturbances } = this.options;
    const slots = runs.map(({ lifetime }) => lifetime.slot);
    const timeoutAt = sentAt + route.timeoutMs;
    if (!disturbances.areInTouch([entry, CORE, ...slots], sentAt, endedAt)) return;
    if (endedAt > timeoutAt)
      this.count(
        'overdue',
        disturbances.getMsWithoutPauses(timeoutAt, endedAt) > BOUNDS.deadlineSlackMs,
        () => this.describe(attempt, 'no answer'),
      );
    if (ending !== 'left') return;
    const limit = endedAt + BOUNDS.deadlineSlackMs;
    runs.forEach(({ record }) => {
      this.count('sentAfterLeaving', record.receivedAt > limit, () =>
        this.describe(attempt, `sent ${Math.round(record.receivedAt - endedAt)} ms after`),
      );
      const eventCount = Math.ceil((result.tokens?.output ?? 0) / 34);
      const wouldLast = record.receivedAt + eventCount * EVENT_MS > limit;
      if (!wouldLast || route.type === 'non_idempotent' || record.receivedAt > endedAt) return;
      this.count(
        'runAfterLeaving',
        disturbances.getMsWithoutPauses(endedAt, record.endedAt ?? Infinity) >
          BOUNDS.deadlineSlackMs,
        () =>
          this.describe(
            attempt,
            `ran ${Math.round((record.endedAt ?? Infinity) - endedAt)} ms more`,
          ),
      );
    });
  }

  private checkDenial(attempt: Attempt, result: SoakResult): void {
    const { status, headers, sentAt, endedAt, path, route } = result;
    if (!path.startsWith(`/${route.kind}/`)) return;
    const isDenied =
      DENIAL_STATUSES.includes(status) && headers['x-response-signature'] === undefined;
    const inTouch = this.options.disturbances.areInTouch([result.entry, CORE], sentAt, endedAt);
    this.count(inTouch ? 'deniedInTouch' : 'denied', isDenied, () =>
      this.describe(attempt, 'denied'),
    );
  }

  /** Checks in windows of the budget that repeats stay within a share of the requests. */
  private checkRetryBudget(): void {
    const windowMs = BOUNDS.retryWindowSeconds * 1000;
    const attempts = [...this.attempts.values()];
    const services = new Set(attempts.map(({ request }) => request.route.service));
    services.forEach((service) => {
      const own = attempts.filter(({ request }) => request.route.service === service);
      const sentTimes = own.map(({ sentAt }) => sentAt);
      const repeatTimes = own.flatMap(({ runs }) =>
        runs.map(({ record }) => record.receivedAt).slice(1),
      );
      const countIn = (times: number[], from: number): number =>
        times.filter((time) => time >= from && time < from + windowMs).length;
      for (let from = this.options.startedAt; from < performance.now(); from += 1000) {
        const requests = Math.max(
          ...[0, windowMs / 2, windowMs].map((earlier) => countIn(sentTimes, from - earlier)),
        );
        const repeats = countIn(repeatTimes, from);
        const limit = BOUNDS.retryRatio * requests + BOUNDS.retryExtra;
        this.check(
          'repeats-within-the-budget',
          repeats <= limit,
          () => `${service}: ${repeats} repeats for ${requests} requests`,
        );
      }
    });
  }

  /** Checks that no more cases are broken than a share of all, or than a number that is allowed. */
  private checkShare(name: string, tally: Tally, share: number, allowed: number): void {
    const { total, broken } = tally;
    const isKept = broken.length <= allowed || broken.length <= share * total;
    this.check(
      name,
      isKept,
      () => `${broken.length} of ${total}: ${broken.slice(0, 5).join(' | ')}`,
    );
  }

  private count(
    name: keyof RequestChecks['tallies'],
    isBroken: boolean,
    detail: () => string,
  ): void {
    const tally = this.tallies[name];
    tally.total += 1;
    if (isBroken) tally.broken.push(detail());
  }

  private check(name: string, holds: boolean, detail: () => string): void {
    this.options.checks.check(name, holds, detail);
  }

  private describe(attempt: Attempt | undefined, seen: string): string {
    if (!attempt) return `unknown request, ${seen}`;
    const { request, sentAt, result, runs } = attempt;
    const { startedAt, disturbances } = this.options;
    const runTexts = runs.map(
      ({ lifetime, record }) =>
        `${lifetime.slot}/${lifetime.runner.id} +${Math.round(record.receivedAt - sentAt)}..${Math.round((record.endedAt ?? Infinity) - sentAt)} ${record.ending}`,
    );
    const endedAt = result?.endedAt ?? performance.now();
    return [
      `${request.id} ${request.path} by ${attempt.entry} at ${((sentAt - startedAt) / 1000).toFixed(3)} s`,
      `${result?.ending ?? 'open'} ${result?.status ?? ''} ${result?.error ?? ''} after ${Math.round(endedAt - sentAt)} ms`,
      seen,
      `runs [${runTexts.join('; ')}]`,
      `disturbances [${disturbances.describe(sentAt - BOUNDS.contactMs, endedAt)}]`,
    ].join(', ');
  }
}

function createTally(): Tally {
  return { total: 0, broken: [] };
}

function isSuccess(result: SoakResult | undefined): boolean {
  return result?.ending === 'answered' && result.status >= 200 && result.status < 300;
}

/** Gets what runners have begun to work on. */
function getRuns({ runs }: Attempt): RunnerRequest[] {
  return runs.filter(({ record }) => record.ending !== 'rejected');
}

/** Tells whether a runner received a request as its client sent it, without the key. */
function isUnchanged({ request }: Attempt, { record }: RunnerRequest): boolean {
  const { tokens, customer, parts } = request;
  const usage = tokens && `${tokens.prompt},${tokens.output}`;
  return (
    record.method === request.method &&
    record.path === request.path &&
    record.body === request.body &&
    record.headers['x-token-usage'] === usage &&
    record.headers['x-prefix-hash'] === (parts && formatParts(parts)) &&
    record.headers['x-tenant-id'] === customer.name &&
    record.headers.authorization === undefined
  );
}
