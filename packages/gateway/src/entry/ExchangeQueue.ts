import type { Duplex } from 'node:stream';
import type { Exchange } from './Exchange.js';

/**
 * Lets the requests of each connection be served one after the other, although clients may send them
 * ahead (pipelining).
 */
export class ExchangeQueue {
  private readonly ends = new WeakMap<Duplex, Promise<void>>();

  /**
   * Waits until the response to the previous request of the connection has ended.
   * @returns False if the connection is closed after that response, so that no other one can follow.
   */
  async waitForTurn({ request: { socket }, response }: Exchange): Promise<boolean> {
    const previous = this.ends.get(socket);
    const ended = new Promise<void>((resolve) => {
      response.once('close', resolve);
    });
    this.ends.set(socket, ended);
    if (!previous) return true;
    await previous;
    return !socket.destroyed && !socket.writableEnded;
  }
}
