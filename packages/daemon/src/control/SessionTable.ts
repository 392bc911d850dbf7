/** An entry process that takes part in the system. */
export interface SessionRecord {
  id: string;
  vm: string;
  dataCentre: string;
  address: string;
  /** Log index of the opening. */
  fence: number;
  /** True once the session gets no shards any more. */
  hasYielded: boolean;
}

/** Ownership of a shard of upstreams. */
export interface OwnershipRecord {
  shard: string;
  session: string;
  /** Fencing number: log index of the assignment. */
  fence: number;
}

/** Sessions, shard owners and draining VMs, as stored. */
export interface SessionTableState {
  sessions: SessionRecord[];
  owners: OwnershipRecord[];
  draining: string[];
}

/** Sessions of entry processes and the shards they own. */
export class SessionTable {
  private sessions = new Map<string, SessionRecord>();

  private owners = new Map<string, OwnershipRecord>();

  private draining = new Set<string>();

  /** Opens a session. An older session of the same VM stays until its lease has ended. */
  open(session: SessionRecord): SessionRecord {
    const known = this.sessions.get(session.id);
    if (known) return known;
    this.sessions.set(session.id, session);
    return session;
  }

  /** Closes a session and frees its shards. */
  close(id: string): void {
    this.sessions.delete(id);
    this.removeOwnerships(id);
  }

  /** Frees some of a session's shards; without a list all of them, and it gets no new ones. */
  yield(id: string, shards: string[]): void {
    const session = this.sessions.get(id);
    if (session && shards.length === 0) session.hasYielded = true;
    this.removeOwnerships(id, shards);
  }

  /** Assigns a shard that has no owner to an open session. */
  assign(shard: string, session: string, fence: number): boolean {
    if (this.owners.has(shard) || !this.sessions.has(session)) return false;
    this.owners.set(shard, { shard, session, fence });
    return true;
  }

  /** Frees all shards, so that all are assigned anew with higher fencing numbers. */
  clearOwners(): void {
    this.owners.clear();
  }

  setDraining(vm: string, isDraining: boolean): void {
    if (isDraining) this.draining.add(vm);
    else this.draining.delete(vm);
  }

  isDraining(session: SessionRecord): boolean {
    return session.hasYielded || this.draining.has(session.vm);
  }

  getSession(id: string): SessionRecord | undefined {
    return this.sessions.get(id);
  }

  getSessions(): SessionRecord[] {
    return [...this.sessions.values()];
  }

  getOwners(): OwnershipRecord[] {
    return [...this.owners.values()];
  }

  getState(): SessionTableState {
    return {
      sessions: this.getSessions(),
      owners: this.getOwners(),
      draining: [...this.draining],
    };
  }

  restore(state: SessionTableState): void {
    this.sessions = new Map(state.sessions.map((session) => [session.id, session]));
    this.owners = new Map(state.owners.map((owner) => [owner.shard, owner]));
    this.draining = new Set(state.draining);
  }

  private removeOwnerships(session: string, shards: string[] = []): void {
    for (const owner of this.getOwners()) {
      const isNamed = shards.length === 0 || shards.includes(owner.shard);
      if (owner.session === session && isNamed) this.owners.delete(owner.shard);
    }
  }
}
