import { isDeepStrictEqual } from 'node:util';
import { setTimeout as sleep } from 'node:timers/promises';
import type { GatewayProcess } from '../harness/index.js';
import type { Random } from '../load/index.js';
import type { Checks } from '../prove/Checks.js';
import { BOUNDS } from './Bounds.js';
import {
  createDocument,
  CUSTOMERS,
  getMarkerPath,
  getMarkerService,
  MARKER_VERSIONS,
  ROUTES,
} from './configuration.js';
import type { ClientWorkload } from './ClientWorkload.js';
import { CORE } from './Disturbances.js';
import type { Disturbances } from './Disturbances.js';
import type { SoakResult } from './SoakClient.js';

/** Options of an {@link OperatorWorkload}. */
export interface OperatorWorkloadOptions {
  controls: GatewayProcess[];
  entries: GatewayProcess[];
  random: Random;
  checks: Checks;
  clients: ClientWorkload;
  disturbances: Disturbances;
  startedAt: number;
}

interface Change {
  document: object;
  sentAt: number;
  acknowledgedAt: number | undefined;
}

const CALL_TIMEOUT_MS = 1000;
const RESEND_MS = 100;
const GIVE_UP_MS = 30_000;
const STORM_SIZE = 8;
const MAX_VERSION_STEP = 3;
const READ_INTERVAL_MS = 300;
const PROBE_INTERVAL_MS = 150;
/** Factor of the bound on regressions for machines that are not in touch. */
const SLOWED_FACTOR = 8;
const FORBIDDEN_PATH = '/forbidden';

/** Changes the configuration, reads it back, and probes which one is in force. */
export class OperatorWorkload {
  private readonly changes = new Map<number, Change>();

  private highestVersion = 0;

  /** Highest version whose effect was seen, with the time, by entry process and lifetime. */
  private readonly seen = new Map<string, { version: number; seenAt: number }>();

  constructor(private readonly options: OperatorWorkloadOptions) {}

  get acknowledgedCount(): number {
    return [...this.changes.values()].filter(({ acknowledgedAt }) => acknowledgedAt).length;
  }

  /** Sends a valid change until it is acknowledged, or given up. */
  async change(): Promise<void> {
    const { random, checks, disturbances } = this.options;
    this.highestVersion += random.nextInteger(1, MAX_VERSION_STEP);
    const version = this.highestVersion;
    const document = createDocument(version);
    const change: Change = { document, sentAt: performance.now(), acknowledgedAt: undefined };
    this.changes.set(version, change);
    const status = await this.submit(document);
    checks.check('valid-change-not-refused', status !== 400, () => this.at(`version ${version}`));
    if (status === 200) change.acknowledgedAt = performance.now();
    const tookMs = performance.now() - change.sentAt;
    const isInTime = status === 200 && tookMs <= BOUNDS.acknowledgementMs;
    const dueAt = Math.min(change.sentAt + BOUNDS.acknowledgementMs, performance.now());
    if (!disturbances.areInTouch([CORE], change.sentAt, dueAt)) return;
    checks.check('change-acknowledged-in-time', isInTime || version < this.highestVersion, () =>
      this.at(`version ${version}: status ${status} after ${Math.round(tookMs)} ms`),
    );
  }

  /** Sends several changes at a time, to different control processes. */
  async changeConcurrently(count = 2): Promise<void> {
    await Promise.all(Array.from({ length: count }, () => this.change()));
  }

  async changeInQuickSuccession(): Promise<void> {
    await this.changeConcurrently(STORM_SIZE);
  }

  /** Sends an acknowledged change again; it must not be refused. */
  async resend(): Promise<void> {
    const [version, change] = this.getNewestAcknowledged() ?? [];
    if (!change) return;
    const status = await this.submit(change.document);
    this.options.checks.check('acknowledged-change-not-refused', status < 400, () =>
      this.at(`version ${version}: ${status}`),
    );
  }

  /** Sends other content under a version that is held; it must not come into force. */
  async alter(): Promise<void> {
    const [version] = this.getNewestAcknowledged() ?? [];
    if (version !== undefined) await this.submit(createDocument(version, `${FORBIDDEN_PATH}/`));
  }

  /** Sends an invalid configuration; it must be refused and not come into force. */
  async submitInvalid(): Promise<void> {
    const document = createDocument(this.highestVersion + 100, `${FORBIDDEN_PATH}/`, 'unknown');
    const status = await this.submit(document);
    this.options.checks.check('invalid-change-refused', status >= 400 || status === 0, () =>
      this.at(`status ${status}`),
    );
  }

  /** Reads the configuration from random control processes until the run is over. */
  async runReads(isOver: () => boolean): Promise<void> {
    const { random, controls } = this.options;
    while (!isOver()) {
      await sleep(READ_INTERVAL_MS);
      this.read(random.pick(controls)).catch(() => undefined);
    }
  }

  /** Sends requests on marker routes to random entry processes until the run is over. */
  async runProbes(isOver: () => boolean): Promise<void> {
    const { random, entries, clients } = this.options;
    const probers = entries.map((entry) => clients.createClient(() => entry));
    const pending = new Set<number>();
    while (!isOver()) {
      await sleep(PROBE_INTERVAL_MS);
      const index = random.nextInteger(0, probers.length - 1);
      const prober = probers[index];
      if (!prober || pending.has(index)) continue;
      pending.add(index);
      this.probe((request) => clients.send(prober, request)).finally(() => pending.delete(index));
    }
    probers.forEach((prober) => prober.close());
  }

  /** Checks at the end that control holds the newest acknowledged configuration. */
  async checkFinal(): Promise<void> {
    const { controls, checks } = this.options;
    const startedAt = performance.now();
    const answers = new Set<GatewayProcess>();
    const isOver = (): boolean => {
      const elapsedMs = performance.now() - startedAt;
      if (elapsedMs >= BOUNDS.recoveryMs) return true;
      return elapsedMs >= BOUNDS.contactMs && answers.size === controls.length;
    };
    while (!isOver()) {
      for (const control of controls)
        if (await this.read(control).catch(() => false)) answers.add(control);
      await sleep(READ_INTERVAL_MS);
    }
    controls.forEach((control) =>
      checks.check('configuration-read-at-the-end', answers.has(control), () => control.name),
    );
  }

  /** Reads from one control process, and checks the answer if there is one. */
  private async read({ address, name }: GatewayProcess): Promise<boolean> {
    const sentAt = performance.now();
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const response = await fetch(`http://${address}/api/config`, { signal });
    if (!response.ok) return false;
    const document = (await response.json()) as { Version: number };
    const version = document.Version;
    const [required = 0] = this.getNewestAcknowledged(sentAt - BOUNDS.configurationApplyMs) ?? [];
    const { checks } = this.options;
    checks.check('read-not-older-than-acknowledged', version >= required, () =>
      this.at(`${name} answered ${version} after ${required} was acknowledged`),
    );
    checks.check(
      'read-as-sent',
      isDeepStrictEqual(document, this.changes.get(version)?.document),
      () => this.at(`${name} answered other content of version ${version}`),
    );
    return true;
  }

  private async probe(send: (request: SoakResult) => Promise<SoakResult>): Promise<void> {
    const { random, clients } = this.options;
    const roll = random.next();
    const newest = this.getNewestAcknowledged()?.[0] ?? 0;
    // Recent versions shall be in force, dropped ones not.
    const offset = roll < 0.7 ? random.nextInteger(0, 2) : MARKER_VERSIONS + 2;
    const version = roll < 0.9 ? newest - offset : 0;
    if (version < 0 || (version === 0 && roll < 0.9)) return;
    const path = version === 0 ? `${FORBIDDEN_PATH}/` : getMarkerPath(version);
    const request = {
      id: clients.createId(),
      route: { ...ROUTES.read, service: getMarkerService(version) },
      method: 'GET',
      path,
      body: '',
      customer: CUSTOMERS[0],
    } as SoakResult;
    const result = await send(request);
    if (result.ending !== 'answered') return;
    if (version === 0) {
      this.options.checks.check('refused-content-not-in-force', result.status !== 200, () =>
        this.at(`${result.entry} at ${path}`),
      );
    } else this.checkProbe(version, result);
  }

  private checkProbe(version: number, result: SoakResult): void {
    const { checks, disturbances } = this.options;
    const { entry, lifetime, sentAt, endedAt, status } = result;
    const isServed = status === 200;
    const isMissing = [401, 403, 404].includes(status);
    if (!isServed && !isMissing) return;
    const inTouch = disturbances.areInTouch([entry, CORE], sentAt, endedAt);
    const [acknowledged = 0] =
      this.getNewestAcknowledged(sentAt - BOUNDS.configurationApplyMs) ?? [];
    // A version that was sent without acknowledgement may be in force as well.
    const isOvertaken = this.getHighestSent(endedAt) >= version + MARKER_VERSIONS;
    const describe = (): string =>
      this.at(
        `${result.id} by ${entry}: ${status} at ${result.path} with ${acknowledged} acknowledged, disturbances [${disturbances.describe(sentAt - BOUNDS.contactMs, endedAt)}]`,
      );
    if (inTouch && acknowledged >= version && !isOvertaken)
      checks.check('configuration-in-force', isServed, describe);
    if (inTouch && acknowledged >= version + MARKER_VERSIONS)
      checks.check('dropped-route-not-served', isMissing, describe);
    const key = `${entry} ${lifetime}`;
    const seen = this.seen.get(key);
    const slackMs = BOUNDS.rollbackSlackMs * (inTouch ? 1 : SLOWED_FACTOR);
    if (seen && seen.seenAt + slackMs < sentAt) {
      if (version <= seen.version && !isOvertaken)
        checks.check('configuration-does-not-regress', isServed, describe);
      if (version + MARKER_VERSIONS <= seen.version)
        checks.check('configuration-does-not-regress', isMissing, describe);
    }
    if (isServed && version > (seen?.version ?? 0))
      this.seen.set(key, { version, seenAt: endedAt });
  }

  /** Sends a document to one control process after another; gets 0 if there was no clear answer. */
  private async submit(document: object): Promise<number> {
    const { random, controls } = this.options;
    const body = JSON.stringify(document);
    const endAt = performance.now() + GIVE_UP_MS;
    while (performance.now() < endAt) {
      const { address } = random.pick(controls);
      try {
        const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
        const url = `http://${address}/api/config`;
        const { status } = await fetch(url, { method: 'PUT', body, signal });
        if (status < 500) return status;
      } catch {
        // No clear answer: the same document is sent again.
      }
      await sleep(RESEND_MS);
    }
    return 0;
  }

  private getNewestAcknowledged(until = Infinity): [number, Change] | undefined {
    return [...this.changes]
      .filter(([, { acknowledgedAt = Infinity }]) => acknowledgedAt < until)
      .sort(([left], [right]) => right - left)[0];
  }

  private getHighestSent(until: number): number {
    return Math.max(
      ...[...this.changes].filter(([, { sentAt }]) => sentAt <= until).map(([version]) => version),
    );
  }

  private at(detail: string): string {
    return `${((performance.now() - this.options.startedAt) / 1000).toFixed(3)} s: ${detail}`;
  }
}
