import type { Member } from '../log/index.js';

interface Version {
  index: number;
  members: Member[];
}

/**
 * The member lists of the log, newest last. A list counts from its append on, committed or not.
 * @internal
 */
export class MemberHistory {
  private versions: Version[] = [];

  /** Gets the list in force; empty before the replica has joined a cluster. */
  get current(): Member[] {
    return this.versions.at(-1)?.members ?? [];
  }

  /** Gets the index of the entry that holds the list in force. */
  get currentIndex(): number {
    return this.versions.at(-1)?.index ?? 0;
  }

  /** Gets the voters in force. */
  get voters(): Member[] {
    return this.current.filter((member) => member.voter);
  }

  /** Gets the list that was in force at an index. */
  getAt(index: number): Member[] {
    return this.versions.findLast((version) => version.index <= index)?.members ?? [];
  }

  isVoter(id: string): boolean {
    return this.voters.some((member) => member.id === id);
  }

  hasMember(id: string): boolean {
    return this.current.some((member) => member.id === id);
  }

  addVersion(index: number, members: Member[]): void {
    this.versions.push({ index, members });
  }

  /** Removes the lists of entries that were overwritten. */
  removeFrom(index: number): void {
    this.versions = this.versions.filter((version) => version.index < index);
  }

  /** Replaces all lists by that of a snapshot. */
  reset(index: number, members: Member[]): void {
    this.versions = [{ index, members }];
  }
}
