import type {
  AppendRequest,
  AppendResponse,
  SnapshotRequest,
  SnapshotResponse,
  VoteRequest,
  VoteResponse,
} from './messages.js';

/** The way to another replica. Each call rejects when no answer comes within the timeout. */
export interface Peer {
  vote(request: VoteRequest, timeoutMs: number): Promise<VoteResponse>;
  append(request: AppendRequest, timeoutMs: number): Promise<AppendResponse>;
  installSnapshot(request: SnapshotRequest, timeoutMs: number): Promise<SnapshotResponse>;
  close(): void;
}

/** Opens the way to a replica at an address. */
export interface PeerNetwork {
  openPeer(address: string): Peer;
}
