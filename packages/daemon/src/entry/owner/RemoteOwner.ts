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

/** The owner of a shard in another process. */
export class RemoteOwner implements OwnerCalls {
  constructor(private readonly client: Client<typeof OwnerService>) {}

  async reserve(call: ReserveCall, signal: AbortSignal): Promise<ReserveAnswer> {
    const waitMs = Math.min(call.queueLimitMs ?? 0, call.deadlineMs ?? 0);
    const options: CallOptions = { signal, timeoutMs: waitMs + RESERVE_MARGIN_MS };
    return this.client.reserve(call, options);
  }

  async release(call: ReleaseCall): Promise<void> {
    await this.client.release(call, { timeoutMs: CALL_TIMEOUT_MS });
  }

  async markDecoding(call: MarkDecodingCall): Promise<void> {
    await this.client.markDecoding(call, { timeoutMs: CALL_TIMEOUT_MS });
  }

  async announce(call: AnnounceCall): Promise<AnnounceAnswer> {
    return this.client.announce(call, { timeoutMs: CALL_TIMEOUT_MS });
  }

  async summarise(shard: string): Promise<SummaryMessage> {
    const answer = await this.client.summarise({ shard }, { timeoutMs: CALL_TIMEOUT_MS });
    return answer.summary ?? { shard, models: [], services: [] };
  }
}
