/** A replica taking part in the log. */
export interface Member {
  /** Identity that lives with the replica's data: a wiped disk gives a new one. */
  id: string;
  /** Name from the settings; it stays the same over a wipe. */
  name: string;
  address: string;
  /** False while the member only catches up. */
  voter: boolean;
}

/** Encodes a member list as an entry's payload. */
export function encodeMembers(members: Member[]): Uint8Array {
  return Buffer.from(JSON.stringify(members));
}

/** Decodes an entry's payload to a member list. */
export function decodeMembers(payload: Uint8Array): Member[] {
  return JSON.parse(Buffer.from(payload).toString()) as Member[];
}
