import { Code, ConnectError } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import type { OwnerService } from '@azurecart/protocol';
import type {
  AnnounceAnswer,
  AnnounceCall,
  MarkDecodingCall,
  OwnerCalls,
  ReleaseCall,
  ReserveAnswer,
  ReserveCall,
  SummaryMessage,
} from './OwnerCalls.js';

const CALL_TIMEOUT_MS = 1000;
/** Time beyond the queue limit in which a reservation must be answered. */
const RESERVE_MARGIN_MS = 1000;

/** The connection to an owner. */
export interface RemoteOwnerOptions {
  client: Client<typeof OwnerService>;
  /** Gives up the connection, so that the next call opens a fresh one. */
  dropConnection: () => void;
}

/** The owner of a shard in another process. */
export class RemoteOwner implements OwnerCalls {
  constructor(private readonly options: RemoteOwnerOptions) {}

  async reserve(call: ReserveCall, signal: AbortSignal): Promise<ReserveAnswer> {
    const waitMs = Math.min(call.queueLimitMs ?? 0, call.deadlineMs ?? 0);
    const options: CallOptions = { signal, timeoutMs: waitMs + RESERVE_MARGIN_MS };
    return this.attempt((client) => client.reserve(call, options));
  }

  async release(call: ReleaseCall): Promise<void> {
    await this.attempt((client) => client.release(call, { timeoutMs: CALL_TIMEOUT_MS }));
  }

  async markDecoding(call: MarkDecodingCall): Promise<void> {
    await this.attempt((client) => client.markDecoding(call, { timeoutMs: CALL_TIMEOUT_MS }));
  }

  async announce(call: AnnounceCall): Promise<AnnounceAnswer> {
    return this.attempt((client) => client.announce(call, { timeoutMs: CALL_TIMEOUT_MS }));
  }

  async summarise(shard: string): Promise<SummaryMessage> {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const answer = await this.attempt((client) => client.summarise({ shard }, options));
    return answer.summary ?? { shard, models: [], services: [] };
  }

  private async attempt<T>(call: (client: Client<typeof OwnerService>) => Promise<T>): Promise<T> {
    try {
      return await call(this.options.client);
    } catch (error) {
      const { code } = ConnectError.from(error);
      if (code === Code.DeadlineExceeded) this.options.dropConnection();
      throw error;
    }
  }
}
