import { decode, encode } from '@msgpack/msgpack';
import type { StateMachine } from '@azurecart/consensus';
import type { Configuration, ConfigurationCodec } from '../configuration/index.js';

/** A configuration document and its version. */
export interface VersionedDocument {
  version: number;
  document: Uint8Array;
}

/** Result of applying a proposed document. */
export type ApplyResult =
  /** The document has a higher version than all committed before, and has replaced them. */
  | 'adopted'
  /** The same or a higher version was committed before, so the document was ignored. */
  | 'superseded';

/** Options of a {@link ConfigurationState}. */
export interface ConfigurationStateOptions {
  codec: ConfigurationCodec;
  /** Called after a newer document was applied or a snapshot was restored. */
  onChanged: () => void;
}

/** State machine that holds the document with the highest committed version. */
export class ConfigurationState implements StateMachine {
  current: VersionedDocument | undefined;

  private decoded: { version: number; configuration: Configuration } | undefined;

  constructor(private readonly options: ConfigurationStateOptions) {}

  /** Gets the decoded document; decoding is lazy because a log replay applies many documents. */
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

/** Encodes a document as a command for {@link ConfigurationState.apply}. */
export function encodeProposal(document: VersionedDocument): Uint8Array {
  return encode(document);
}
