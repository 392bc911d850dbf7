import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Code, ConnectError } from '@connectrpc/connect';
import { BehaviorSubject } from 'rxjs';
import { parseRelease } from '@azurecart/protocol';
import type { View as ViewMessage } from '@azurecart/protocol';
import type { Invariants, Logger, Timeline } from '@azurecart/telemetry';
import type { ControlClient } from '../../rpc/index.js';
import type { ConfigurationLease } from './ConfigurationLease.js';
import { EMPTY_VIEW } from './View.js';
import type { View } from './View.js';

export interface ViewFollowerOptions {
  control: ControlClient;
  vm: string;
  dataCentre: string;
  address: string;
  lease: ConfigurationLease;
  timeline: Timeline;
  invariants: Invariants;
  logger: Logger;
}

/**
 * Longer than `pollMs` of the control processes (400 by default), for which they may delay the
 * response, and shorter than their `leaseMs` (2500 by default).
 */
const RENEW_TIMEOUT_MS = 1200;
const OPEN_SESSION_TIMEOUT_MS = 5000;
const RETRY_DELAY_MS = 50;

/** Keeps a session with the control cluster open to receive views and extend the lease. */
export class ViewFollower {
  readonly views = new BehaviorSubject<View>(EMPTY_VIEW);

  private sessionId = '';

  private isStopped = false;

  constructor(private readonly options: ViewFollowerOptions) {}

  get view(): View {
    return this.views.value;
  }

  /** Id of the session with the control cluster; empty before it is opened and after it is lost. */
  get session(): string {
    return this.sessionId;
  }

  /** Until stopped, renews the session, and opens a new one when none is open. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.sessionId === '') await this.openSession();
        else await this.renew();
      } catch (error) {
        this.handleError(error);
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  /** Gives up the ownership of all shards; the control cluster assigns no more to this session. */
  async yieldShards(timeoutMs: number): Promise<void> {
    const session = this.sessionId;
    await this.options.control.call((client, options) => client.yield({ session }, options), {
      timeoutMs,
    });
  }

  /** Ends the lease and closes the session. */
  async stop(timeoutMs: number): Promise<void> {
    const session = this.sessionId;
    this.isStopped = true;
    this.options.lease.end();
    if (session === '') return;
    await this.options.control
      .call((client, options) => client.closeSession({ session }, options), { timeoutMs })
      .catch(() => undefined);
  }

  private async openSession(): Promise<void> {
    const { control, vm, dataCentre, address, timeline } = this.options;
    const request = { session: `${vm}#${randomUUID()}`, vm, dataCentre, address };
    const response = await control.call((client, options) => client.openSession(request, options), {
      timeoutMs: OPEN_SESSION_TIMEOUT_MS,
    });
    this.sessionId = response.session;
    timeline.record('session-opened', { fence: Number(response.fence) });
  }

  private async renew(): Promise<void> {
    const { control, lease } = this.options;
    const { version, releaseNumber } = this.view;
    let sentAt = 0;
    const response = await control.call(
      (client, options) => {
        sentAt = performance.now();
        const request = {
          session: this.sessionId,
          knownVersion: BigInt(version),
          appliedRelease: BigInt(releaseNumber),
        };
        return client.renew(request, options);
      },
      { timeoutMs: RENEW_TIMEOUT_MS, attemptTimeoutMs: RENEW_TIMEOUT_MS },
    );
    if (this.isStopped) return;
    if (response.view) this.applyView(response.view);
    lease.extend(sentAt, response.leaseMs);
  }

  private applyView(message: ViewMessage): void {
    const { view } = this;
    const releaseNumber = Number(message.releaseNumber);
    const isMonotonic =
      Number(message.version) >= view.version && releaseNumber >= view.releaseNumber;
    this.options.invariants.require(
      'view-never-goes-back',
      isMonotonic,
      () => `${view.version}/${view.releaseNumber} to ${message.version}/${releaseNumber}`,
    );
    const release = message.release === '' ? view.release : parseRelease(message.release);
    const sessionsAndOwners = message.hasMembers ? getSessionsAndOwners(message) : view;
    this.views.next({
      version: Number(message.version),
      releaseNumber,
      release,
      sessions: sessionsAndOwners.sessions,
      owners: sessionsAndOwners.owners,
    });
    if (releaseNumber > view.releaseNumber) {
      this.options.timeline.record('release-applied', { release: releaseNumber });
    }
  }

  private handleError(error: unknown): void {
    const { lease, logger, timeline } = this.options;
    if (ConnectError.from(error).code === Code.NotFound) {
      timeline.record('session-lost', { detail: this.sessionId });
      this.sessionId = '';
      lease.end();
    }
    if (!this.isStopped)
      logger.debug(
        { err: error },
        'failed to open or renew the control session, or to apply its view',
      );
  }
}

function getSessionsAndOwners(message: ViewMessage): Pick<View, 'sessions' | 'owners'> {
  const sessions = message.sessions.map(({ id, vm, dataCentre, address, draining }) => ({
    id,
    vm,
    dataCentre,
    address,
    isDraining: draining,
  }));
  const owners = message.owners.map((owner) => ({ ...owner, fence: Number(owner.fence) }));
  return {
    sessions: new Map(sessions.map((session) => [session.id, session])),
    owners: new Map(owners.map((owner) => [owner.shard, owner])),
  };
}
