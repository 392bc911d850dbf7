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

/** What a follower needs. */
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

const TRY_MS = 1200;
const OPEN_TIMEOUT_MS = 5000;
const PAUSE_MS = 50;

/** Follows the durable state and keeps the lease under which it is in force here. */
export class ViewFollower {
  readonly views = new BehaviorSubject<View>(EMPTY_VIEW);

  private sessionId = '';

  private isStopped = false;

  constructor(private readonly options: ViewFollowerOptions) {}

  get view(): View {
    return this.views.value;
  }

  /** Gets the session under which this process takes part; empty before the first. */
  get session(): string {
    return this.sessionId;
  }

  /** Runs until stopped: opens a session, renews it, and opens another when it was closed. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.sessionId === '') await this.openSession();
        else await this.renew();
      } catch (error) {
        this.onFault(error);
        await sleep(PAUSE_MS);
      }
    }
  }

  /** Gives up the ownership of all shards. */
  async yieldShards(timeoutMs: number): Promise<void> {
    const session = this.sessionId;
    await this.options.control.call((client, options) => client.yield({ session }, options), {
      timeoutMs,
    });
  }

  /** Closes the session and ends the lease. */
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
    const answer = await control.call((client, options) => client.openSession(request, options), {
      timeoutMs: OPEN_TIMEOUT_MS,
    });
    this.sessionId = answer.session;
    timeline.record('session-opened', { fence: Number(answer.fence) });
  }

  private async renew(): Promise<void> {
    const { control, lease } = this.options;
    const { version, releaseNumber } = this.view;
    let sentAt = 0;
    const answer = await control.call(
      (client, options) => {
        sentAt = performance.now();
        const request = {
          session: this.sessionId,
          knownVersion: BigInt(version),
          appliedRelease: BigInt(releaseNumber),
        };
        return client.renew(request, options);
      },
      { timeoutMs: TRY_MS, tryMs: TRY_MS },
    );
    if (this.isStopped) return;
    if (answer.view) this.apply(answer.view);
    lease.extend(sentAt, answer.leaseMs);
  }

  private apply(message: ViewMessage): void {
    const { view } = this;
    const number = Number(message.releaseNumber);
    const isForward = Number(message.version) >= view.version && number >= view.releaseNumber;
    this.options.invariants.require(
      'view-never-goes-back',
      isForward,
      () => `${view.version}/${view.releaseNumber} to ${message.version}/${number}`,
    );
    const release = message.release === '' ? view.release : parseRelease(message.release);
    const members = message.hasMembers ? getMembers(message) : view;
    this.views.next({
      version: Number(message.version),
      releaseNumber: number,
      release,
      sessions: members.sessions,
      owners: members.owners,
    });
    if (number > view.releaseNumber) {
      this.options.timeline.record('release-applied', { release: number });
    }
  }

  private onFault(error: unknown): void {
    const { lease, logger, timeline } = this.options;
    if (ConnectError.from(error).code === Code.NotFound) {
      timeline.record('session-lost', { detail: this.sessionId });
      this.sessionId = '';
      lease.end();
    }
    if (!this.isStopped) logger.debug({ err: error }, 'control not followed');
  }
}

function getMembers(message: ViewMessage): Pick<View, 'sessions' | 'owners'> {
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
