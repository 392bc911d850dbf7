import type { Member } from '../log/index.js';

interface Version {
  index: number;
  members: Member[];
}

/**
 * The member lists contained in the log, oldest first. A list takes effect as soon as it is
 * appended, whether or not it is committed.
 * @internal
 */
export class MemberHistory {
  private versions: Version[] = [];

  /** Gets the current member list; empty before the replica has joined a cluster. */
  get current(): Member[] {
    return this.versions.at(-1)?.members ?? [];
  }

  /** Gets the index of the entry that holds the current list. */
  get currentIndex(): number {
    return this.versions.at(-1)?.index ?? 0;
  }

  get voters(): Member[] {
    return this.current.filter((member) => member.voter);
  }

  /** Gets the member list that was in effect at an index. */
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

  /** Removes the member lists at and after an index, whose entries were overwritten. */
  truncateFrom(index: number): void {
    this.versions = this.versions.filter((version) => version.index < index);
  }

  /** Replaces all member lists with the one of a snapshot. */
  reset(index: number, members: Member[]): void {
    this.versions = [{ index, members }];
  }
}
