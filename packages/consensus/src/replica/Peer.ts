import type {
  AppendRequest,
  AppendResponse,
  SnapshotRequest,
  SnapshotResponse,
  VoteRequest,
  VoteResponse,
} from './messages.js';

/** Client for another replica. Calls reject if no response arrives within the timeout. */
export interface Peer {
  vote(request: VoteRequest, timeoutMs: number): Promise<VoteResponse>;
  append(request: AppendRequest, timeoutMs: number): Promise<AppendResponse>;
  installSnapshot(request: SnapshotRequest, timeoutMs: number): Promise<SnapshotResponse>;
  close(): void;
}

/** Transport that connects replicas. */
export interface PeerNetwork {
  openPeer(address: string): Peer;
}
