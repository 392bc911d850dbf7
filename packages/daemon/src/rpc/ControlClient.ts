import { setTimeout as sleep } from 'node:timers/promises';
import { Code, ConnectError } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import { ControlService } from '@azurecart/protocol';
import { ControlUnreachable } from '../errors/index.js';
import { getLeaderHint } from './leaderFaults.js';
import type { RpcClients } from './RpcClients.js';

/** A call to the leader of the control processes. */
type ControlCall<T> = (client: Client<typeof ControlService>, options: CallOptions) => Promise<T>;

/** Limits of a call to control. */
export interface ControlCallOptions {
  /** Time for the call with all its tries. */
  timeoutMs: number;
  /** Time for one try. */
  tryMs?: number;
}

const TRY_MS = 1500;
const PAUSE_MS = 40;

/** Finds the leader of the control processes. Every call it carries may be repeated safely. */
export class ControlClient {
  private readonly addresses: string[];

  private position = 0;

  private leader: string | undefined;

  constructor(
    private readonly clients: RpcClients,
    addresses: string[],
  ) {
    this.addresses = [...addresses];
  }

  /**
   * Makes a call to the leader, and repeats it elsewhere until it is answered.
   * @throws ControlUnreachable when no leader answered in time.
   * @throws ConnectError when the leader refused the call.
   */
  async call<T>(operation: ControlCall<T>, options: ControlCallOptions): Promise<T> {
    const endAt = performance.now() + options.timeoutMs;
    let cause: unknown;
    while (performance.now() < endAt) {
      const left = Math.max(1, Math.ceil(endAt - performance.now()));
      const timeoutMs = Math.min(options.tryMs ?? TRY_MS, left);
      try {
        return await operation(this.getClient(), { timeoutMs });
      } catch (error) {
        if (!isRepeatable(error)) throw error;
        cause = error;
        this.chooseNext(error);
        await sleep(PAUSE_MS);
      }
    }
    throw new ControlUnreachable('no control process leads', { cause });
  }

  private getClient(): Client<typeof ControlService> {
    return this.clients.getClient(ControlService, this.getAddress());
  }

  private getAddress(): string {
    return this.leader ?? this.addresses[this.position % this.addresses.length] ?? '';
  }

  private chooseNext(error: unknown): void {
    const hint = getLeaderHint(error);
    if (hint === undefined) this.clients.dropConnection(this.getAddress());
    const isFresh = hint !== undefined && hint !== '' && hint !== this.leader;
    this.leader = isFresh ? hint : undefined;
    if (!isFresh) this.position += 1;
  }
}

function isRepeatable(error: unknown): boolean {
  if (getLeaderHint(error) !== undefined) return true;
  const { code } = ConnectError.from(error);
  const transient = [
    Code.Unavailable,
    Code.DeadlineExceeded,
    Code.Canceled,
    Code.Aborted,
    Code.Internal,
    Code.Unknown,
  ];
  return transient.includes(code);
}
