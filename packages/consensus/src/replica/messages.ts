import type { LogEntry, Member } from '../log/index.js';

/** Requests a vote, or with `preVote` asks whether a vote would be granted. */
export interface VoteRequest {
  /** Identifier of the recipient; a wiped replica at the same address rejects the message. */
  to: string;
  /** Term of the election; with `preVote`, the term that the candidate would start. */
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

/** Replicates entries from the leader; an empty request is a heartbeat. */
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
  /** On success the last matching index; on rejection the index after which to retry. */
  matchIndex: number;
}

/** Replaces a follower's complete state. */
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
