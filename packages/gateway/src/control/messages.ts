import type { Announcement } from '@azurecart/discovery';
import type { EngineDecision, EngineHelp, EngineJob, JobEnding } from '@azurecart/scheduling';

/** Names of the calls and notices between processes. */
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
  cluster: 'cluster',
  place: 'place',
  placed: 'placed',
  adopt: 'adopt',
  progress: 'progress',
  release: 'release',
  lightEngines: 'lightEngines',
} as const;

/** What a control process tells of itself to one that looks for its cluster. */
export interface ProbeAnswer {
  isInitialised: boolean;
}

/** Asks to take part in the log. */
export interface JoinRequest {
  id: string;
  address: string;
}

/** The answer of a process that may not lead. */
export interface Referral {
  isAccepted: boolean;
  leader: string | null;
}

/** Opens the feed of an entry process, or the exchange with another control process. */
export interface Subscription {
  kind: 'entry' | 'control';
  vm: string;
  /** Version of the configuration that the subscriber holds; 0 for none. */
  version: number;
}

/** Upstreams that changed, or all of them. */
export interface UpstreamNotice {
  records: AgedAnnouncement[];
}

/** An announcement and how long ago its upstream was last heard, in milliseconds. */
export interface AgedAnnouncement extends Announcement {
  ageMs: number;
}

/** A committed configuration; the document is compressed. */
export interface ConfigurationNotice {
  version: number;
  deflated: Uint8Array;
}

/** The control processes and how many entry processes there are. */
export interface ClusterNotice {
  /** `host:port` for links of each member. */
  members: string[];
  leader: string | null;
  /** Term in which the leader was elected; an older one is not believed. */
  term: number;
  entries: number;
}

/** Decides on a job that was queued. */
export interface PlacedNotice {
  id: string;
  decision: EngineDecision;
}

/** Tells of a job that its entry process placed by itself, or under an earlier leader. */
export interface AdoptNotice {
  job: EngineJob;
  upstream: string;
  helpers: EngineHelp[];
  isWriting: boolean;
}

/** Tells which engines answer short prompts, for processes that must place without a scheduler. */
export interface LightEnginesNotice {
  service: string;
  engines: string[];
}

/** Tells of the progress or the end of a job. */
export interface JobNotice {
  id: string;
  /** How it ended; orderly if absent. */
  ending?: JobEnding;
  /** The upstream at fault when it is not the one that the job was sent to. */
  culprit?: string;
}
