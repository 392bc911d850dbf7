import { setTimeout as sleep } from 'node:timers/promises';
import type { Replica } from '@azurecart/consensus';
import type { Logger, Timeline } from '@azurecart/telemetry';
import { encodeCommand } from './commands.js';
import type { ControlCommand } from './commands.js';
import type { ControlState } from './ControlState.js';
import type { LoadPermits } from './LoadPermits.js';
import { getShardNames, planAssignments } from './planAssignments.js';
import type { SessionLeases } from './SessionLeases.js';

/** Options of {@link LeaderTasks}. */
export interface LeaderTasksOptions {
  replica: Replica;
  state: ControlState;
  leases: SessionLeases;
  permits: LoadPermits;
  dataCentres: string[];
  claimRetentionMs: number;
  timeline: Timeline;
  logger: Logger;
}

const TICK_INTERVAL_MS = 50;

/**
 * Periodic tasks of the leader: closes sessions with an expired lease, assigns shards without an
 * owner and removes old claims.
 */
export class LeaderTasks {
  private isStopped = false;

  private initialisedTerm = 0;

  constructor(private readonly options: LeaderTasksOptions) {}

  /** Runs until stopped. */
  async run(): Promise<void> {
    const { replica, logger } = this.options;
    while (!this.isStopped) {
      await sleep(TICK_INTERVAL_MS);
      if (!replica.hasLease()) continue;
      await this.tick().catch((error: unknown) =>
        logger.warn({ err: error }, 'closing sessions, assigning shards or removing claims failed'),
      );
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async tick(): Promise<void> {
    this.initialiseNewTerm();
    await this.closeExpiredSessions();
    await this.assignShards();
    await this.expireClaims();
  }

  private initialiseNewTerm(): void {
    const { replica, state, leases, permits, timeline } = this.options;
    if (this.initialisedTerm === replica.term) return;
    this.initialisedTerm = replica.term;
    leases.reset(state.sessions.getSessions());
    // The first release sets the limits of permits, so without a release no earlier leader can have
    // granted one.
    permits.reset(state.releases.number > 0);
    // The event field `fence` carries the election term.
    timeline.record('leader-started', { fence: replica.term });
  }

  private async closeExpiredSessions(): Promise<void> {
    const { state, leases, timeline } = this.options;
    leases.retain(state.sessions.getSessions());
    for (const session of leases.takeExpired(state.sessions.getSessions())) {
      timeline.record('session-expired', { detail: session.vm });
      await this.propose({ kind: 'close-session', id: session.id });
    }
  }

  private async assignShards(): Promise<void> {
    const { state, leases, dataCentres, timeline } = this.options;
    const owners = state.sessions.getOwners();
    const candidates = state.sessions
      .getSessions()
      .filter((session) => leases.isLive(session.id) && !state.sessions.isDraining(session));
    const assignments = planAssignments({
      shards: getShardNames(dataCentres, state.shardsPerDataCentre),
      sessionByShard: new Map(owners.map(({ shard, session }) => [shard, session])),
      candidates,
    });
    if (assignments.length === 0) return;
    await this.propose({ kind: 'assign', assignments });
    const detail = assignments.map(({ shard, session }) => `${shard}=${session}`).join(' ');
    timeline.record('shards-assigned', { detail });
  }

  private async expireClaims(): Promise<void> {
    const { state, claimRetentionMs } = this.options;
    const beforeMs = Date.now() - claimRetentionMs;
    if (state.claims.hasClaimsBefore(beforeMs))
      await this.propose({ kind: 'expire-claims', beforeMs });
  }

  private async propose(command: ControlCommand): Promise<void> {
    await this.options.replica.propose(encodeCommand(command));
  }
}
