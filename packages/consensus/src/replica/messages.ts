import type { LogEntry, Member } from '../log/index.js';

/** Asks for a vote, or in a pre-vote whether one would be given. */
export interface VoteRequest {
  /** Identity the message is meant for: a wiped replica at the same address refuses it. */
  to: string;
  term: number;
  candidate: string;
  lastIndex: number;
  lastTerm: number;
  preVote: boolean;
}

export interface VoteResponse {
  term: number;
  granted: boolean;
}

/** Carries entries from the leader; without entries it is a heartbeat. */
export interface AppendRequest {
  to: string;
  term: number;
  leader: string;
  previousIndex: number;
  previousTerm: number;
  commitIndex: number;
  entries: LogEntry[];
}

export interface AppendResponse {
  term: number;
  success: boolean;
  /** On success the last index held; on refusal the index from which the leader may try again. */
  matchIndex: number;
}

/** Replaces a follower's whole state. */
export interface SnapshotRequest {
  to: string;
  term: number;
  leader: string;
  index: number;
  indexTerm: number;
  members: Member[];
  state: Uint8Array;
}

export interface SnapshotResponse {
  term: number;
}
