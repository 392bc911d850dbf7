import { Code, ConnectError } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import type { OwnerService } from '@azurecart/protocol';
import type {
  AnnounceResponseInit,
  AnnounceRequestInit,
  MarkDecodingRequestInit,
  OwnerApi,
  ReleaseRequestInit,
  ReserveResponseInit,
  ReserveRequestInit,
  SummaryInit,
} from './OwnerApi.js';

const CALL_TIMEOUT_MS = 1000;
/** Time allowed for the response after the queue limit or the deadline, whichever is earlier. */
const RESERVE_MARGIN_MS = 1000;

export interface RemoteOwnerOptions {
  client: Client<typeof OwnerService>;
  /** Drops the connection, so that the next call opens a new one. */
  dropConnections: () => void;
}

/** Calls the owner of a shard in another process. */
export class RemoteOwner implements OwnerApi {
  constructor(private readonly options: RemoteOwnerOptions) {}

  async reserve(request: ReserveRequestInit, signal: AbortSignal): Promise<ReserveResponseInit> {
    const waitMs = Math.min(request.queueLimitMs ?? 0, request.deadlineMs ?? 0);
    const options: CallOptions = { signal, timeoutMs: waitMs + RESERVE_MARGIN_MS };
    return this.call((client) => client.reserve(request, options));
  }

  async release(request: ReleaseRequestInit): Promise<void> {
    await this.call((client) => client.release(request, { timeoutMs: CALL_TIMEOUT_MS }));
  }

  async markDecoding(request: MarkDecodingRequestInit): Promise<void> {
    await this.call((client) => client.markDecoding(request, { timeoutMs: CALL_TIMEOUT_MS }));
  }

  async announce(request: AnnounceRequestInit): Promise<AnnounceResponseInit> {
    return this.call((client) => client.announce(request, { timeoutMs: CALL_TIMEOUT_MS }));
  }

  async summarise(shard: string): Promise<SummaryInit> {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const response = await this.call((client) => client.summarise({ shard }, options));
    return response.summary ?? { shard, models: [], services: [] };
  }

  private async call<T>(
    operation: (client: Client<typeof OwnerService>) => Promise<T>,
  ): Promise<T> {
    try {
      return await operation(this.options.client);
    } catch (error) {
      const { code } = ConnectError.from(error);
      if (code === Code.DeadlineExceeded) this.options.dropConnections();
      throw error;
    }
  }
}
