import { setTimeout as sleep } from 'node:timers/promises';
import { Code, ConnectError } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import { ControlService } from '@azurecart/protocol';
import { ControlUnreachableError } from '../errors/index.js';
import { getLeaderHint } from './leaderErrors.js';
import type { RpcClients } from './RpcClients.js';

/** Operation that makes one call to a control process. */
type ControlCall<T> = (client: Client<typeof ControlService>, options: CallOptions) => Promise<T>;

/** Time limits of a call to the leader. */
export interface ControlCallOptions {
  /** Time limit for the call with all its attempts. */
  timeoutMs: number;
  /** Time limit for one attempt. */
  attemptTimeoutMs?: number;
}

const ATTEMPT_TIMEOUT_MS = 1500;
const RETRY_DELAY_MS = 40;

/**
 * Client that finds the leader of the control processes and calls it.
 * @remarks Failed attempts are retried, so every call made with it must be idempotent.
 */
export class ControlClient {
  private readonly addresses: string[];

  private addressIndex = 0;

  private leader: string | undefined;

  constructor(
    private readonly clients: RpcClients,
    addresses: string[],
  ) {
    this.addresses = [...addresses];
  }

  /**
   * Calls the leader. A retryable error leads to another attempt, at the leader that the error names
   * or else at the next control process.
   * @throws ControlUnreachableError when no leader responded in time.
   * @throws ConnectError when the call failed with an error that is not retried.
   */
  async call<T>(operation: ControlCall<T>, options: ControlCallOptions): Promise<T> {
    const endAt = performance.now() + options.timeoutMs;
    let cause: unknown;
    while (performance.now() < endAt) {
      const remainingMs = Math.max(1, Math.ceil(endAt - performance.now()));
      const timeoutMs = Math.min(options.attemptTimeoutMs ?? ATTEMPT_TIMEOUT_MS, remainingMs);
      const address = this.getAddress();
      try {
        const client = this.clients.getClient(ControlService, address);
        return await operation(client, { timeoutMs });
      } catch (error) {
        if (!isRetryable(error)) throw error;
        cause = error;
        this.selectNextAddress(address, error);
        await sleep(RETRY_DELAY_MS);
      }
    }
    // The message is the same when a leader exists but did not respond in time.
    throw new ControlUnreachableError('no control process leads', { cause });
  }

  private getAddress(): string {
    return this.leader ?? this.addresses[this.addressIndex % this.addresses.length] ?? '';
  }

  /** Keeps the selected address if another call has replaced the failed one meanwhile. */
  private selectNextAddress(failedAddress: string, error: unknown): void {
    const leaderHint = getLeaderHint(error);
    if (leaderHint === undefined) this.clients.dropConnections(failedAddress);
    if (failedAddress !== this.getAddress()) return;
    const isNewLeader = leaderHint !== undefined && leaderHint !== '' && leaderHint !== this.leader;
    this.leader = isNewLeader ? leaderHint : undefined;
    if (!isNewLeader) this.addressIndex += 1;
  }
}

function isRetryable(error: unknown): boolean {
  if (getLeaderHint(error) !== undefined) return true;
  const { code } = ConnectError.from(error);
  const retryableCodes = [
    Code.Unavailable,
    Code.DeadlineExceeded,
    Code.Canceled,
    Code.Aborted,
    Code.Internal,
    Code.Unknown,
  ];
  return retryableCodes.includes(code);
}
