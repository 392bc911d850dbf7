/** A member of the cluster. */
export interface Member {
  /** Identifier stored with the replica's data; a replica whose disk was wiped gets a new one. */
  id: string;
  /** Configured name; unlike `id`, it does not change when the disk is wiped. */
  name: string;
  address: string;
  /** False for a learner, which receives entries but does not count towards the quorum. */
  voter: boolean;
}

/** Encodes a member list as the payload of a log entry. */
export function encodeMembers(members: Member[]): Uint8Array {
  return Buffer.from(JSON.stringify(members));
}

/** Decodes the member list from the payload of a log entry. */
export function decodeMembers(payload: Uint8Array): Member[] {
  return JSON.parse(Buffer.from(payload).toString()) as Member[];
}
