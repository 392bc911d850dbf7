import { decode, encode } from '@msgpack/msgpack';
import type { StateMachine } from '@azurecart/consensus';
import type { Configuration, ConfigurationCodec } from '../configuration/index.js';

/** A document under its version. */
export interface VersionedDocument {
  version: number;
  document: Uint8Array;
}

/** What the proposal of a document did. */
export type ApplyResult = 'adopted' | 'superseded';

/** What the state needs. */
export interface ConfigurationStateOptions {
  codec: ConfigurationCodec;
  /** Called when a newer document is committed or restored. */
  onChanged: () => void;
}

/** The replicated state: the document with the highest version. */
export class ConfigurationState implements StateMachine {
  current: VersionedDocument | undefined;

  private decoded: { version: number; configuration: Configuration } | undefined;

  constructor(private readonly options: ConfigurationStateOptions) {}

  /** Gets the decoded document; it is decoded when it is first wanted, for a replay has many. */
  get configuration(): Configuration | undefined {
    const { current } = this;
    if (!current) return undefined;
    if (this.decoded?.version !== current.version) {
      const configuration = this.options.codec.decode(current.document);
      this.decoded = { version: current.version, configuration };
    }
    return this.decoded.configuration;
  }

  apply(command: Uint8Array): ApplyResult {
    const proposed = decode(command) as VersionedDocument;
    if (this.current && proposed.version <= this.current.version) return 'superseded';
    this.current = proposed;
    this.options.onChanged();
    return 'adopted';
  }

  takeSnapshot(): Uint8Array {
    return encode(this.current ?? null);
  }

  restore(state: Uint8Array): void {
    this.current = (decode(state) as VersionedDocument | null) ?? undefined;
    this.options.onChanged();
  }
}

/** Encodes the proposal of a document. */
export function encodeProposal(document: VersionedDocument): Uint8Array {
  return encode(document);
}
