import { decode, encode } from '@msgpack/msgpack';
import type { StateMachine } from '@azurecart/consensus';

/** A document under its version. */
export interface VersionedDocument {
  version: number;
  document: Uint8Array;
}

/** What the proposal of a document did. */
export type ApplyResult = 'adopted' | 'superseded';

/** The replicated state: the document with the highest version. */
export class ConfigurationState implements StateMachine {
  current: VersionedDocument | undefined;

  /** @param onChange - Called when a newer document is committed or restored. */
  constructor(private readonly onChange: () => void) {}

  apply(command: Uint8Array): ApplyResult {
    const proposed = decode(command) as VersionedDocument;
    if (this.current && proposed.version <= this.current.version) return 'superseded';
    this.current = proposed;
    this.onChange();
    return 'adopted';
  }

  takeSnapshot(): Uint8Array {
    return encode(this.current ?? null);
  }

  restore(state: Uint8Array): void {
    this.current = (decode(state) as VersionedDocument | null) ?? undefined;
    this.onChange();
  }
}

/** Encodes the proposal of a document. */
export function encodeProposal(document: VersionedDocument): Uint8Array {
  return encode(document);
}
