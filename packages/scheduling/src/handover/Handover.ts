export interface HandoverOptions<Place> {
  /** Reserves another place for the work; undefined if there is none. */
  reserve: (signal: AbortSignal) => Promise<Place | undefined>;
  /** Gives back a place that is not used. */
  release: (place: Place) => void;
  /** Called once a place is reserved, when the running work may be given up. */
  onReserved: () => void;
}

/**
 * Reserves another place for running work that seems to stall, while it runs on. The work is given up
 * only once that place is certain, and keeps its own if it makes progress before.
 */
export class Handover<Place> {
  private search: { controller: AbortController; result: Promise<boolean> } | undefined;

  private reserved: Place | undefined;

  private isClosed = false;

  constructor(private readonly options: HandoverOptions<Place>) {}

  /**
   * Searches for a place, or joins the search under way.
   * @returns False if there is none, or if the search was cancelled.
   */
  begin(): Promise<boolean> {
    if (this.isClosed) return Promise.resolve(false);
    if (this.reserved !== undefined) return Promise.resolve(true);
    if (!this.search) {
      const controller = new AbortController();
      this.search = { controller, result: this.find(controller.signal) };
    }
    return this.search.result;
  }

  /** Cancels a search, because the work makes progress. */
  cancel(): void {
    this.search?.controller.abort();
    this.search = undefined;
  }

  /** Takes the reserved place, which the caller then releases. */
  take(): Place | undefined {
    const { reserved } = this;
    this.reserved = undefined;
    return reserved;
  }

  /** Cancels a search and gives back a place that was not taken. */
  close(): void {
    this.isClosed = true;
    this.cancel();
    const reserved = this.take();
    if (reserved !== undefined) this.options.release(reserved);
  }

  private async find(signal: AbortSignal): Promise<boolean> {
    const place = await this.options.reserve(signal);
    // A cancelled search has been forgotten already, and another one may have begun.
    if (!signal.aborted) this.search = undefined;
    if (place === undefined) return false;
    if (signal.aborted) {
      this.options.release(place);
      return false;
    }
    this.reserved = place;
    this.options.onReserved();
    return true;
  }
}
