import type { Outcome } from '@azurecart/protocol';

/** Recorded result of a call that must not be repeated. */
export interface ClaimResult {
  kind: Outcome;
  status: number;
  contentType: string;
  /** Body, base64-encoded. */
  body: string;
}

/** Command in the replicated log that changes the control state. */
export type ControlCommand =
  | { kind: 'open-session'; id: string; vm: string; dataCentre: string; address: string }
  | { kind: 'close-session'; id: string }
  | { kind: 'yield'; session: string; shards: string[] }
  | { kind: 'assign'; assignments: { shard: string; session: string }[] }
  | { kind: 'drain'; vm: string; isDraining: boolean }
  | {
      kind: 'submit';
      number: number;
      text: string;
      digest: string;
      operator: string;
      atMs: number;
    }
  | { kind: 'claim'; key: string; fingerprint: string; claimant: string; atMs: number }
  | { kind: 'settle'; key: string; claimant: string; result: ClaimResult }
  | { kind: 'expire-claims'; beforeMs: number };

/** Encodes a command as the payload of a log entry. */
export function encodeCommand(command: ControlCommand): Uint8Array {
  return Buffer.from(JSON.stringify(command));
}
