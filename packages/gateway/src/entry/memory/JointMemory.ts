import { randomUUID } from 'node:crypto';
import type { Logger } from '@azurecart/telemetry';
import type { PlacedHelper } from '../Placement.js';
import { MemoryHold } from './MemoryHold.js';
import type { OrderClient } from './OrderClient.js';

/** What takes memory of several engines. */
export interface JointMemoryOptions {
  helpers: PlacedHelper[];
  orders: OrderClient;
  logger: Logger;
}

/** Memory of several engines for one prompt: all that it needs, or nothing. */
export class JointMemory {
  private constructor(private readonly holds: MemoryHold[]) {}

  /**
   * Sets the memory aside at all engines that are to keep a part of the prompt.
   * @returns Nothing when one of them does not confirm it; the others are released then.
   */
  static async take(options: JointMemoryOptions): Promise<JointMemory | undefined> {
    const { helpers, orders, logger } = options;
    const holds = helpers
      .filter(({ heldTokens }) => heldTokens > 0)
      .map(
        ({ upstream, heldTokens: tokens }) =>
          new MemoryHold({ upstream, ticket: randomUUID(), tokens, orders, logger }),
      );
    const granted = await Promise.all(holds.map((hold) => hold.reserve()));
    for (const hold of holds)
      hold.run().catch((error: unknown) => logger.error({ err: error }, 'memory hold failed'));
    const memory = new JointMemory(holds);
    if (granted.every((isGranted) => isGranted)) return memory;
    memory.release();
    return undefined;
  }

  /** Gets the ticket at an engine; undefined when it holds nothing. */
  getTicket(address: string): string | undefined {
    return this.holds.find((hold) => hold.address === address)?.ticket;
  }

  /** True when no engine but the first one holds anything. */
  get isEmpty(): boolean {
    return this.holds.length === 0;
  }

  release(): void {
    this.holds.forEach((hold) => hold.release());
  }
}
