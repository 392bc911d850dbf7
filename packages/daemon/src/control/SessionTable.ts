/** Session of an entry process. */
export interface SessionRecord {
  id: string;
  vm: string;
  dataCentre: string;
  address: string;
  /** Fencing token: log index of the command that opened the session. */
  fence: number;
  /** Set when the session has yielded all its shards; it is assigned no new ones. */
  hasYielded: boolean;
}

/** Ownership of a shard of upstreams. */
export interface OwnershipRecord {
  shard: string;
  session: string;
  /** Fencing token: log index of the assignment. */
  fence: number;
}

/** Sessions, shard owners and draining VMs, as stored in snapshots. */
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

  /**
   * Opens a session, or gets the open session with the same id.
   * @remarks An earlier session of the same VM stays open until its lease has expired.
   */
  open(session: SessionRecord): SessionRecord {
    const known = this.sessions.get(session.id);
    if (known) return known;
    this.sessions.set(session.id, session);
    return session;
  }

  /** Closes a session and removes it as owner of its shards. */
  close(id: string): void {
    this.sessions.delete(id);
    this.removeOwnerships(id);
  }

  /**
   * Removes a session as owner of shards. With an empty list it loses all its shards and is
   * assigned no new ones.
   */
  yield(id: string, shards: string[]): void {
    const session = this.sessions.get(id);
    if (session && shards.length === 0) session.hasYielded = true;
    this.removeOwnerships(id, shards);
  }

  /**
   * Assigns a shard to a session.
   * @returns False when the shard has an owner or the session is not open.
   */
  assign(shard: string, session: string, fence: number): boolean {
    if (this.owners.has(shard) || !this.sessions.has(session)) return false;
    this.owners.set(shard, { shard, session, fence });
    return true;
  }

  /** Removes all shard owners, so that all shards are reassigned with higher fencing tokens. */
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
      const isSelected = shards.length === 0 || shards.includes(owner.shard);
      if (owner.session === session && isSelected) this.owners.delete(owner.shard);
    }
  }
}
