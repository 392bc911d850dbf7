import type {
  AppendRequest,
  AppendResponse,
  Peer,
  PeerNetwork,
  SnapshotRequest,
  SnapshotResponse,
  VoteRequest,
  VoteResponse,
} from '@azurecart/consensus';
import type { LinkPool } from './LinkPool.js';
import { METHODS } from './messages.js';

/** Sends the RPCs of the consensus replicas over links. */
export class LinkPeerNetwork implements PeerNetwork {
  constructor(private readonly linkPool: LinkPool) {}

  openPeer(address: string): Peer {
    const call = async <T>(method: string, body: unknown, timeoutMs: number): Promise<T> =>
      (await this.linkPool.getLink(address).call(method, body, timeoutMs)) as T;
    return {
      vote: (request: VoteRequest, timeoutMs) =>
        call<VoteResponse>(METHODS.vote, request, timeoutMs),
      append: (request: AppendRequest, timeoutMs) =>
        call<AppendResponse>(METHODS.append, request, timeoutMs),
      installSnapshot: (request: SnapshotRequest, timeoutMs) =>
        call<SnapshotResponse>(METHODS.snapshot, request, timeoutMs),
      close: () => undefined,
    };
  }
}
