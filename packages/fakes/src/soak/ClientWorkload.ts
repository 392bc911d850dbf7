import { setTimeout as sleep } from 'node:timers/promises';
import type { GatewayProcess } from '../harness/index.js';
import type { Random } from '../load/index.js';
import { CUSTOMERS, ROUTES } from './configuration.js';
import type { RequestKind } from './configuration.js';
import type { RequestChecks } from './RequestChecks.js';
import { SoakClient } from './SoakClient.js';
import type { SoakClientOptions, SoakRequest, SoakResult } from './SoakClient.js';

/** Options of a {@link ClientWorkload}. */
export interface ClientWorkloadOptions {
  random: Random;
  checks: RequestChecks;
  pickEntry: () => GatewayProcess;
  getRelayAddress: (entry: GatewayProcess) => string;
  /** Gets the parts that a prompt shares with others. */
  getSharedParts: () => string[];
}

/** One client in so many is connected through a relay, coprime to the number of kinds. */
const RELAYED_EVERY = 5;
const THINK_MS: [number, number] = [0, 250];
const BACKOFF_MS = 100;
const LEAVING_SHARE = 0.04;
const LEAVES_AFTER_MS: [number, number] = [200, 700];
/** Kinds of the clients in turn, so that each kind has kept connections of its own. */
const CLIENT_KINDS: RequestKind[] = ['chat', 'once', 'read', 'book', 'chat', 'chat'];
/** Output tokens of short and long streams; 34 of them make an event each 45 ms. */
const SHORT_OUTPUT: [number, number] = [100, 1500];
const LONG_OUTPUT: [number, number] = [2500, 6000];
const LONG_SHARE = 0.25;

/** Clients that send one request after another on a connection of their own. */
export class ClientWorkload {
  private sentCount = 0;

  constructor(private readonly options: ClientWorkloadOptions) {}

  /** Runs clients until the run is over, and waits for their last requests. */
  async run(count: number, isOver: () => boolean): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, (_, index) =>
        this.runClient(
          CLIENT_KINDS[index % CLIENT_KINDS.length] ?? 'chat',
          index % RELAYED_EVERY === 0,
          isOver,
        ),
      ),
    );
  }

  /** Sends a request by a client and has its result checked. */
  async send(client: SoakClient, request: SoakRequest): Promise<SoakResult> {
    const result = await client.send(request);
    this.options.checks.addResult(result);
    return result;
  }

  createClient(
    pickEntry: SoakClientOptions['pickEntry'],
    getRelayAddress?: SoakClientOptions['getRelayAddress'],
  ): SoakClient {
    const onSend = (request: SoakRequest, entry: string): void =>
      this.options.checks.addRequest(request, entry);
    return new SoakClient({ pickEntry, getRelayAddress, onSend });
  }

  createId(): string {
    this.sentCount += 1;
    return `r${this.sentCount}`;
  }

  private async runClient(
    kind: RequestKind,
    isRelayed: boolean,
    isOver: () => boolean,
  ): Promise<void> {
    const { random, pickEntry, getRelayAddress } = this.options;
    const client = this.createClient(pickEntry, isRelayed ? getRelayAddress : undefined);
    while (!isOver()) {
      const { ending, status } = await this.send(client, this.createRequest(kind));
      if (ending === 'answered' && status === 200) await sleep(random.nextInteger(...THINK_MS));
      else await sleep(BACKOFF_MS);
    }
    client.close();
  }

  private createRequest(kind: RequestKind): SoakRequest {
    const { random } = this.options;
    const route = ROUTES[kind];
    const id = this.createId();
    const isStream = route.type === 'streaming';
    const leaves = isStream && random.next() < LEAVING_SHARE;
    const output = random.next() < LONG_SHARE ? LONG_OUTPUT : SHORT_OUTPUT;
    return {
      id,
      route,
      method: 'POST',
      path: `/${kind}/${id}`,
      body: `body of ${id} ${'x'.repeat(random.nextInteger(0, 3000))}`,
      customer: random.pick(CUSTOMERS),
      tokens: isStream
        ? { prompt: random.nextInteger(50, 4000), output: random.nextInteger(...output) }
        : undefined,
      parts: isStream ? [...this.options.getSharedParts(), id] : undefined,
      leavesAfterMs: leaves ? random.nextInteger(...LEAVES_AFTER_MS) : undefined,
    };
  }
}
