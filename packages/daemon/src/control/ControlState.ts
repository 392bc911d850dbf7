import type { StateMachine } from '@azurecart/consensus';
import type { Release } from '@azurecart/protocol';
import { parseRelease } from '@azurecart/protocol';
import type { Invariants } from '@azurecart/telemetry';
import { ClaimTable } from './ClaimTable.js';
import type { Claim } from './ClaimTable.js';
import type { ControlCommand } from './commands.js';
import { ReleaseTable } from './ReleaseTable.js';
import type { ReleaseTableState, SubmitDecision } from './ReleaseTable.js';
import { SessionTable } from './SessionTable.js';
import type { SessionTableState } from './SessionTable.js';

/** Content of a snapshot, as stored. */
interface ControlSnapshot {
  viewVersion: number;
  membersVersion: number;
  releases: ReleaseTableState;
  sessions: SessionTableState;
  claims: [string, Claim][];
}

/** State machine that the control processes replicate. */
export class ControlState implements StateMachine {
  readonly releases = new ReleaseTable();

  readonly sessions = new SessionTable();

  readonly claims = new ClaimTable();

  /** Log index of the last command that may have changed the view sent to entry processes. */
  viewVersion = 0;

  /** Log index of the last command that may have changed sessions or shard owners. */
  membersVersion = 0;

  /** Latest accepted release, parsed. */
  release: Release | undefined;

  /**
   * Counts the invariant checks made while releases are applied. A failed check also throws out of
   * {@link apply}.
   */
  invariants: Invariants | undefined;

  /** Gets the number of shards per data centre; 1 before the first release. */
  get shardsPerDataCentre(): number {
    return this.release?.routing.shardsPerDataCentre ?? 1;
  }

  apply(bytes: Uint8Array, index: number): unknown {
    const command = JSON.parse(Buffer.from(bytes).toString()) as ControlCommand;
    const isViewChange = !['claim', 'settle', 'expire-claims'].includes(command.kind);
    if (isViewChange) this.viewVersion = index;
    if (isViewChange && command.kind !== 'submit') this.membersVersion = index;
    return this.applyCommand(command, index);
  }

  takeSnapshot(): Uint8Array {
    const stored: ControlSnapshot = {
      viewVersion: this.viewVersion,
      membersVersion: this.membersVersion,
      releases: this.releases.getState(),
      sessions: this.sessions.getState(),
      claims: this.claims.getAll(),
    };
    return Buffer.from(JSON.stringify(stored));
  }

  restore(bytes: Uint8Array): void {
    const stored = JSON.parse(Buffer.from(bytes).toString()) as ControlSnapshot;
    this.viewVersion = stored.viewVersion;
    this.membersVersion = stored.membersVersion;
    this.releases.restore(stored.releases);
    this.sessions.restore(stored.sessions);
    this.claims.restore(stored.claims);
    this.parseLatestRelease();
  }

  private applyCommand(command: ControlCommand, index: number): unknown {
    switch (command.kind) {
      case 'open-session': {
        const { id, vm, dataCentre, address } = command;
        const session = { id, vm, dataCentre, address, fence: index, hasYielded: false };
        return this.sessions.open(session);
      }
      case 'close-session':
        return this.sessions.close(command.id);
      case 'yield':
        return this.sessions.yield(command.session, command.shards);
      case 'assign':
        return this.assign(command.assignments, index);
      case 'drain':
        return this.sessions.setDraining(command.vm, command.isDraining);
      case 'submit':
        return this.submit(command);
      case 'claim': {
        const { key, fingerprint, claimant, atMs } = command;
        return this.claims.claim(key, { fingerprint, claimant, atMs });
      }
      case 'settle':
        return this.claims.settle(command.key, command.claimant, command.result);
      case 'expire-claims':
        return this.claims.removeClaimsBefore(command.beforeMs);
      default:
        throw new Error(
          'unknown command in the log: it was written by a newer version of this process',
        );
    }
  }

  private assign(assignments: { shard: string; session: string }[], index: number): void {
    assignments.forEach(({ shard, session }) => this.sessions.assign(shard, session, index));
  }

  private submit(command: Extract<ControlCommand, { kind: 'submit' }>): SubmitDecision {
    const { text, kind, ...receipt } = command;
    const previousShardCount = this.shardsPerDataCentre;
    const { number } = this.releases;
    const decision = this.releases.submit(receipt, text);
    this.invariants?.require(
      'release-number-never-falls',
      this.releases.number === number || this.releases.number === number + 1,
      () => `${number} became ${this.releases.number}`,
    );
    this.parseLatestRelease();
    if (this.shardsPerDataCentre !== previousShardCount) {
      this.sessions.clearOwners();
      this.membersVersion = this.viewVersion;
    }
    return decision;
  }

  private parseLatestRelease(): void {
    const text = this.releases.latestText;
    this.release = text ? parseRelease(text) : undefined;
  }
}
