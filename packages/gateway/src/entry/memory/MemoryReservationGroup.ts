import { randomUUID } from 'node:crypto';
import type { Logger } from '@azurecart/telemetry';
import type { PlacedHelper } from '../Placement.js';
import { MemoryReservation } from './MemoryReservation.js';
import type { EngineCommandClient } from './EngineCommandClient.js';

export interface MemoryReservationGroupOptions {
  helpers: PlacedHelper[];
  commandClient: EngineCommandClient;
  logger: Logger;
}

/** Memory reservations on several engines for one prompt, all or none. */
export class MemoryReservationGroup {
  private constructor(private readonly reservations: MemoryReservation[]) {}

  /**
   * Reserves memory on all helpers that keep a part of the prompt.
   * @returns Undefined if one of them does not confirm it; the release of all reservations is then
   * started, but not awaited.
   */
  static async acquire(
    options: MemoryReservationGroupOptions,
  ): Promise<MemoryReservationGroup | undefined> {
    const { helpers, commandClient, logger } = options;
    const reservations = helpers
      .filter(({ heldTokens }) => heldTokens > 0)
      .map(
        ({ upstream, heldTokens: tokens }) =>
          new MemoryReservation({ upstream, ticket: randomUUID(), tokens, commandClient, logger }),
      );
    const granted = await Promise.all(reservations.map((reservation) => reservation.reserve()));
    for (const reservation of reservations)
      reservation
        .run()
        .catch((error: unknown) =>
          logger.error({ err: error }, 'renewal or release of memory reservation failed'),
        );
    const group = new MemoryReservationGroup(reservations);
    if (granted.every((isGranted) => isGranted)) return group;
    group.release();
    return undefined;
  }

  /** Gets the id of the reservation on an engine; undefined if there is none. */
  getTicket(address: string): string | undefined {
    return this.reservations.find((reservation) => reservation.address === address)?.ticket;
  }

  /** True if no helper holds memory for the prompt. */
  get isEmpty(): boolean {
    return this.reservations.length === 0;
  }

  release(): void {
    this.reservations.forEach((reservation) => reservation.release());
  }
}
