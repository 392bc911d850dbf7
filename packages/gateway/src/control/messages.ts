import type { Announcement } from '@azurecart/discovery';
import type { EngineDecision, EngineHelper, EngineJob, JobEnding } from '@azurecart/scheduling';

/** Methods of the calls and notifications between processes; the names are sent over links. */
export const METHODS = {
  vote: 'vote',
  append: 'append',
  snapshot: 'snapshot',
  probe: 'probe',
  join: 'join',
  propose: 'propose',
  read: 'read',
  subscribe: 'subscribe',
  upstreams: 'upstreams',
  configuration: 'configuration',
  evacuate: 'evacuate',
  evacuations: 'evacuations',
  cluster: 'cluster',
  place: 'place',
  placed: 'placed',
  adopt: 'adopt',
  progress: 'progress',
  release: 'release',
  lightEngines: 'lightEngines',
  findings: 'findings',
  permit: 'permit',
  sent: 'sent',
  durations: 'durations',
  slowdowns: 'slowdowns',
  applied: 'applied',
} as const;

/** Response of a control process to one that is looking for its cluster. */
export interface ProbeResponse {
  /**
   * True when the responding process belongs or has belonged to a cluster. Always false while
   * its replica is not open: during the start, and while storage that failed is being reopened.
   */
  isInitialised: boolean;
}

/** Asks the leader to add a member to the cluster. */
export interface JoinRequest {
  id: string;
  address: string;
}

/** Response to a {@link JoinRequest}; only the leader accepts, others name the leader they know. */
export interface JoinResponse {
  isAccepted: boolean;
  leader: string | null;
}

/** Subscribes an entry process or another control process to updates. */
export interface Subscription {
  kind: 'entry' | 'control';
  vm: string;
  /** Version of the subscriber's configuration; 0 for none. */
  version: number;
  /** Data centre of the subscriber; processes of earlier versions do not name it. */
  dataCentre?: string;
}

/** Tells control processes which version of the configuration an entry process has activated. */
export interface AppliedConfiguration {
  version: number;
}

/**
 * Changed or recently announced upstreams; all known ones at the start of a subscription, and at an
 * interval to entry processes.
 */
export interface UpstreamUpdate {
  records: AgedAnnouncement[];
}

/** An announcement and its age. */
export interface AgedAnnouncement extends Announcement {
  /** Milliseconds since any process last heard from the upstream. */
  ageMs: number;
}

/** A committed configuration. */
export interface ConfigurationUpdate {
  version: number;
  /** The document, compressed with raw DEFLATE. */
  deflated: Uint8Array;
}

/** The members of the control cluster and the number of entry processes. */
export interface ClusterUpdate {
  /** Link address of each member as `host:port`. */
  members: string[];
  leader: string | null;
  /** Current term of the sender; receivers ignore the members and leader of an older term. */
  term: number;
  /** Number of entry processes that are subscribed to the sender. */
  entries: number;
}

/** Decision on a job that was queued. */
export interface QueuedJobDecision {
  id: string;
  decision: EngineDecision;
}

/** A job as entry processes send it; those of earlier versions send no parts. */
export type SentJob = Omit<EngineJob, 'parts'> & Partial<Pick<EngineJob, 'parts'>>;

/** Reports a placed job to a scheduler that did not place it. */
export interface PlacedJob {
  job: SentJob;
  upstream: string;
  helpers: EngineHelper[];
  /** True once the first event has arrived, so that the engine is decoding. */
  isWriting: boolean;
  /** Milliseconds since the job was placed. */
  ageMs?: number;
}

/** Reports a request that was sent to an upstream with the permit of another scheduler. */
export interface PermittedSend {
  upstream: string;
}

/** Durations of requests that an entry process has observed since its last report. */
export interface DurationsReport {
  service: string;
  /** Names of the kinds of requests, to which `totals` refer by index. */
  kinds: string[];
  /** Upstream, index of the kind, count, sum of the natural logarithms, and sum of their squares. */
  totals: [string, number, number, number, number][];
}

/** Upstreams of a service that are slower or faster than their peers; all others are like them. */
export interface SlowdownsUpdate {
  service: string;
  /** Upstream and the time that it takes as a multiple of that of its peers. */
  slowdowns: [string, number][];
}

/** Engines that serve short prompts, for entry processes that place jobs without a scheduler. */
export interface ShortPromptEnginesUpdate {
  service: string;
  engines: string[];
}

/**
 * Reports the first event of a job (`METHODS.progress`, with the ID only) or its end
 * (`METHODS.release`). The latter also withdraws a job from a scheduler that is no longer selected,
 * and cancels a queued job.
 */
export interface JobUpdate {
  id: string;
  /** How the job ended; `orderly` if absent. */
  ending?: JobEnding;
  /** ID of the helper at fault, if it is not the upstream that the job was sent to. */
  culprit?: string;
}
