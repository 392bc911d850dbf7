import { Code, ConnectError } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import type {
  AppendRequest,
  AppendResponse,
  LogEntry,
  Peer,
  SnapshotRequest,
  SnapshotResponse,
  VoteRequest,
  VoteResponse,
} from '@azurecart/consensus';
import type { ConsensusService } from '@azurecart/protocol';

/** Connection of an {@link RpcPeer}. */
export interface RpcPeerOptions {
  getClient: () => Client<typeof ConsensusService>;
  /** Drops the connection, so that the next call opens a new one. */
  dropConnections: () => void;
}

/** Another replica, called over RPC with a timeout for each call. */
export class RpcPeer implements Peer {
  constructor(private readonly options: RpcPeerOptions) {}

  async vote(request: VoteRequest, timeoutMs: number): Promise<VoteResponse> {
    const message = {
      ...request,
      term: BigInt(request.term),
      lastIndex: BigInt(request.lastIndex),
      lastTerm: BigInt(request.lastTerm),
    };
    const response = await this.callPeer((client) => client.vote(message, { timeoutMs }));
    return { term: Number(response.term), granted: response.granted };
  }

  async append(request: AppendRequest, timeoutMs: number): Promise<AppendResponse> {
    const message = {
      ...request,
      term: BigInt(request.term),
      previousIndex: BigInt(request.previousIndex),
      previousTerm: BigInt(request.previousTerm),
      commitIndex: BigInt(request.commitIndex),
      entries: request.entries.map(toLogEntryMessage),
    };
    const response = await this.callPeer((client) => client.append(message, { timeoutMs }));
    return {
      term: Number(response.term),
      success: response.success,
      matchIndex: Number(response.matchIndex),
    };
  }

  async installSnapshot(request: SnapshotRequest, timeoutMs: number): Promise<SnapshotResponse> {
    const message = {
      ...request,
      term: BigInt(request.term),
      index: BigInt(request.index),
      indexTerm: BigInt(request.indexTerm),
      members: JSON.stringify(request.members),
    };
    const response = await this.callPeer((client) =>
      client.installSnapshot(message, { timeoutMs }),
    );
    return { term: Number(response.term) };
  }

  close(): void {}

  private async callPeer<T>(
    call: (client: Client<typeof ConsensusService>) => Promise<T>,
  ): Promise<T> {
    try {
      return await call(this.options.getClient());
    } catch (error) {
      const { code } = ConnectError.from(error);
      if (code === Code.DeadlineExceeded || code === Code.Unavailable)
        this.options.dropConnections();
      throw error;
    }
  }
}

function toLogEntryMessage(entry: LogEntry): {
  index: bigint;
  term: bigint;
  kind: string;
  payload: Uint8Array<ArrayBuffer>;
} {
  return {
    index: BigInt(entry.index),
    term: BigInt(entry.term),
    kind: entry.kind,
    payload: new Uint8Array(entry.payload),
  };
}
