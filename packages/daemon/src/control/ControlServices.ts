import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter, ServiceImpl } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Replica } from '@azurecart/consensus';
import { NotLeaderError } from '@azurecart/consensus';
import { ControlService, digestRelease, parseRelease, ValidationError } from '@azurecart/protocol';
import type {
  RecordedOutcome,
  RenewRequest,
  SubmitRequest,
  SubmitResponseSchema,
} from '@azurecart/protocol';
import type { Timeline } from '@azurecart/telemetry';
import { toConnectError } from '../rpc/index.js';
import type { ClaimDecision } from './ClaimTable.js';
import { encodeCommand } from './commands.js';
import type { ClaimResult, ControlCommand } from './commands.js';
import type { ControlState } from './ControlState.js';
import { getStatus, getView } from './controlViews.js';
import type { LoadPermits } from './LoadPermits.js';
import type { SubmitDecision } from './ReleaseTable.js';
import type { SessionLeases } from './SessionLeases.js';
import type { SessionRecord } from './SessionTable.js';

/** Options of {@link ControlServices}. */
export interface ControlServicesOptions {
  replica: Replica;
  state: ControlState;
  leases: SessionLeases;
  permits: LoadPermits;
  timeline: Timeline;
  leaseMs: number;
  pollMs: number;
  now: () => number;
}

interface RenewResult {
  leaseMs: number;
  view?: ReturnType<typeof getView>;
}

type ServiceMethods = ServiceImpl<typeof ControlService>;

/** RPC methods for entry processes and operators. Only the leader serves them. */
export class ControlServices {
  constructor(private readonly options: ControlServicesOptions) {}

  addRoutes(router: ConnectRouter): void {
    router.service(ControlService, this.createMethods());
  }

  private createMethods(): ServiceMethods {
    const { state, leases } = this.options;
    return {
      openSession: async (request) => {
        const { session: id, vm, dataCentre, address } = request;
        // The message is the same when only the VM is missing.
        if (id === '' || vm === '') throw new ConnectError('no session id', Code.InvalidArgument);
        const record = await this.propose<SessionRecord>({
          kind: 'open-session',
          id,
          vm,
          dataCentre,
          address,
        });
        leases.extend(record.id, 0);
        return { session: record.id, fence: BigInt(record.fence) };
      },
      renew: (request) => this.renew(request),
      closeSession: async ({ session }) => {
        await this.propose({ kind: 'close-session', id: session });
        return {};
      },
      yield: async ({ session, shards }) => {
        await this.propose({ kind: 'yield', session, shards });
        return {};
      },
      claim: async ({ key, fingerprint, claimant }) => {
        const atMs = Date.now();
        const decision = await this.propose<ClaimDecision>({
          kind: 'claim',
          key,
          fingerprint,
          claimant,
          atMs,
        });
        const outcome =
          decision.state === 'settled' ? toRecordedOutcome(decision.result) : undefined;
        return { state: decision.state, outcome };
      },
      settle: async ({ key, claimant, outcome }) => {
        const result = toClaimResult(outcome);
        const recorded = await this.propose<boolean>({ kind: 'settle', key, claimant, result });
        return { recorded };
      },
      acquireLoad: ({ upstream, model, done }) => this.acquireLoad(`${upstream} ${model}`, done),
      submit: (request) => this.submit(request),
      status: () => {
        this.assertLeaderLease();
        return getStatus(this.options);
      },
      removeMember: async ({ id }) => {
        await this.withConnectErrors(() => this.options.replica.removeMember(id));
        return {};
      },
      drain: async ({ vm, draining }) => {
        if (!state.sessions.getSessions().some((session) => session.vm === vm)) {
          throw new ConnectError(`no session of VM ${vm}`, Code.NotFound);
        }
        await this.propose({ kind: 'drain', vm, isDraining: draining });
        return {};
      },
    };
  }

  /**
   * Extends a lease, and delays the response up to `pollMs` until the view has changed. The lease
   * is extended before the wait, so that it does not expire meanwhile, and again after it. Only the
   * second result counts, because it also tells whether the session was closed during the wait.
   */
  private async renew(request: RenewRequest): Promise<RenewResult> {
    const { state, leases, replica, leaseMs, now } = this.options;
    const known = Number(request.knownVersion);
    const endAt = now() + this.options.pollMs;
    this.assertLeaderLease();
    leases.extend(request.session, Number(request.appliedRelease));
    while (state.viewVersion <= known && now() < endAt && replica.role === 'leader') {
      await replica.waitForChange(endAt - now());
    }
    this.assertLeaderLease();
    const isOpen = state.sessions.getSession(request.session) !== undefined;
    if (!isOpen || !leases.extend(request.session, Number(request.appliedRelease))) {
      throw new ConnectError('the session is closed', Code.NotFound);
    }
    if (state.viewVersion <= known) return { leaseMs };
    const appliedRelease = Number(request.appliedRelease);
    return { leaseMs, view: getView(this.options, { version: known, release: appliedRelease }) };
  }

  /** Requests a permit, or releases it if the load is done. */
  private acquireLoad(key: string, isDone: boolean): { granted: boolean; retryAfterMs: number } {
    const { permits, state } = this.options;
    this.assertLeaderLease();
    if (isDone) permits.release(key);
    const limits = state.release?.weightStore;
    if (isDone || !limits) return { granted: false, retryAfterMs: 0 };
    const retryAfterMs = permits.acquire(key, limits);
    return { granted: retryAfterMs === 0, retryAfterMs };
  }

  private async submit(
    request: SubmitRequest,
  ): Promise<MessageInitShape<typeof SubmitResponseSchema>> {
    const release = parseSubmittedRelease(request.release);
    const decision = await this.propose<SubmitDecision>({
      kind: 'submit',
      number: release.number,
      text: JSON.stringify(release),
      digest: digestRelease(release),
      operator: request.operator,
      atMs: Date.now(),
    });
    const accepted = decision.isOk();
    const receipt = accepted ? decision.value : decision.error.winner;
    const kind = accepted ? 'release-accepted' : 'release-refused';
    this.options.timeline.record(kind, { release: release.number, detail: request.operator });
    return {
      accepted,
      number: BigInt(receipt?.number ?? release.number),
      reason: accepted ? '' : decision.error.reason,
      operator: receipt?.operator ?? '',
      digest: receipt?.digest ?? '',
      acceptedAtMs: BigInt(receipt?.atMs ?? 0),
    };
  }

  private async propose<T>(command: ControlCommand): Promise<T> {
    return this.withConnectErrors(async () => {
      this.assertLeaderLease();
      return (await this.options.replica.propose(encodeCommand(command))) as T;
    });
  }

  private assertLeaderLease(): void {
    const { replica } = this.options;
    if (!replica.hasLease())
      throw toConnectError(new NotLeaderError(getOtherLeaderAddress(replica)));
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- Converts the errors of all methods.
  private async withConnectErrors<T>(operation: () => Promise<T>): Promise<T> {
    try {
      return await operation();
    } catch (error) {
      throw toConnectError(error);
    }
  }
}

/** Gets the address of another leader; undefined when this replica only lost its own lease. */
function getOtherLeaderAddress(replica: Replica): string | undefined {
  return replica.role === 'leader' ? undefined : replica.getLeaderAddress();
}

function parseSubmittedRelease(text: string): ReturnType<typeof parseRelease> {
  try {
    return parseRelease(text);
  } catch (error) {
    if (!(error instanceof ValidationError)) throw error;
    throw new ConnectError(error.message, Code.InvalidArgument);
  }
}

function toRecordedOutcome(result: ClaimResult): {
  kind: string;
  status: number;
  contentType: string;
  body: Uint8Array<ArrayBuffer>;
} {
  return { ...result, body: new Uint8Array(Buffer.from(result.body, 'base64')) };
}

function toClaimResult(outcome: RecordedOutcome | undefined): ClaimResult {
  const kind =
    outcome?.kind === 'completed' || outcome?.kind === 'not-run' ? outcome.kind : 'unknown';
  return {
    kind,
    status: outcome?.status ?? 0,
    contentType: outcome?.contentType ?? '',
    body: Buffer.from(outcome?.body ?? []).toString('base64'),
  };
}
