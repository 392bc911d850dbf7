/** Refusal of requests to a service whose upstreams are all in evacuated data centres. */
export const EVACUATED_REFUSAL = {
  kind: 'refused',
  reason: 'the data centres of all upstreams are evacuated',
  /** Nothing tells when one of them returns to use. */
  retryAfterMs: 2000,
} as const;

/** The evacuated data centres; in the log of the control cluster, and sent to entry processes. */
export interface EvacuationUpdate {
  /** Number of changes so far; an update replaces those with a lower revision. */
  revision: number;
  dataCentres: string[];
}

/** An order to evacuate a data centre, or to return it to use. */
export interface EvacuationOrder {
  dataCentre: string;
  isEvacuated: boolean;
  /** Revision that the process which received the order knew while its sender still waited. */
  seenRevision: number;
}

/** Result of applying an {@link EvacuationOrder}. */
export interface EvacuationResult {
  /** False if the order changes what a later one has decided, so that it was ignored. */
  isInForce: boolean;
  revision: number;
}

/**
 * The data centres whose upstreams get no new requests, as decided by the log. An order may come
 * late over a link that was cut, after the operator has given it up and sent another one elsewhere.
 * Such an order carries an older revision and is ignored.
 */
export class Evacuations {
  private readonly evacuated = new Set<string>();

  private revision = 0;

  /** The state as sent to entry processes and stored in snapshots. */
  get current(): EvacuationUpdate {
    return { revision: this.revision, dataCentres: [...this.evacuated] };
  }

  apply({ dataCentre, isEvacuated, seenRevision }: EvacuationOrder): EvacuationResult {
    const isChange = this.evacuated.has(dataCentre) !== isEvacuated;
    const isInForce = !isChange || seenRevision >= this.revision;
    if (isChange && isInForce) {
      if (isEvacuated) this.evacuated.add(dataCentre);
      else this.evacuated.delete(dataCentre);
      this.revision += 1;
    }
    return { isInForce, revision: this.revision };
  }

  restore({ revision, dataCentres }: EvacuationUpdate): void {
    this.evacuated.clear();
    dataCentres.forEach((dataCentre) => this.evacuated.add(dataCentre));
    this.revision = revision;
  }
}
