import type { Replica } from '@azurecart/consensus';
import type { ControlState } from './ControlState.js';
import type { SessionLeases } from './SessionLeases.js';

/** State that views are built from. */
export interface ViewSource {
  replica: Replica;
  state: ControlState;
  leases: SessionLeases;
}

/** Versions that an entry process already has. */
export interface KnownView {
  version: number;
  release: number;
}

/** Gets the view for an entry process, without the parts that it already has. */
export function getView(source: ViewSource, known: KnownView) {
  const { state } = source;
  const hasMembers = state.membersVersion > known.version;
  const { number, latestText } = state.releases;
  return {
    version: BigInt(state.viewVersion),
    releaseNumber: BigInt(number),
    release: number > known.release ? latestText : '',
    hasMembers,
    sessions: hasMembers ? getSessions(source) : [],
    owners: hasMembers ? getOwners(source) : [],
  };
}

/** Gets the cluster status for operators. */
export function getStatus(source: ViewSource) {
  const { replica, state } = source;
  return {
    leader: replica.getLeaderAddress() ?? '',
    term: BigInt(replica.term),
    commitIndex: BigInt(replica.commitIndex),
    appliedIndex: BigInt(replica.appliedIndex),
    logBytes: BigInt(replica.logBytes),
    members: replica.getMembers().map((member) => ({
      ...member,
      matchIndex: BigInt(member.matchIndex),
    })),
    sessions: getSessions(source),
    owners: getOwners(source),
    release: getReleaseStatus(source),
    claims: BigInt(state.claims.size),
    releaseText: state.releases.latestText,
  };
}

function getReleaseStatus(source: ViewSource) {
  const { latest } = source.state.releases;
  if (!latest) return undefined;
  return {
    number: BigInt(latest.number),
    digest: latest.digest,
    operator: latest.operator,
    acceptedAtMs: BigInt(latest.atMs),
    inForceEverywhere: isAppliedEverywhere(source, latest.number),
  };
}

/** A session counts until it is closed, even when its lease has expired. */
function isAppliedEverywhere({ state, leases }: ViewSource, number: number): boolean {
  return state.sessions
    .getSessions()
    .every((session) => leases.getAppliedRelease(session.id) >= number);
}

function getSessions({ state, leases }: ViewSource) {
  return state.sessions.getSessions().map((session) => ({
    id: session.id,
    vm: session.vm,
    dataCentre: session.dataCentre,
    address: session.address,
    fence: BigInt(session.fence),
    draining: state.sessions.isDraining(session),
    appliedRelease: BigInt(leases.getAppliedRelease(session.id)),
    live: leases.isLive(session.id),
  }));
}

function getOwners({ state }: ViewSource) {
  return state.sessions.getOwners().map((owner) => ({ ...owner, fence: BigInt(owner.fence) }));
}
