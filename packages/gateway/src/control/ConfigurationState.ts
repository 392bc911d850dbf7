import { decode, encode } from '@msgpack/msgpack';
import type { StateMachine } from '@azurecart/consensus';
import type { Configuration, ConfigurationCodec } from '../configuration/index.js';
import { Evacuations } from './Evacuations.js';
import type { EvacuationOrder, EvacuationResult, EvacuationUpdate } from './Evacuations.js';

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
  /** Called after a newer document or an order was applied, or a snapshot was restored. */
  onChanged: () => void;
}

/** A command of the log; only one that orders an evacuation has `evacuation`. */
type Command = VersionedDocument & { evacuation?: EvacuationOrder };

/**
 * A snapshot. Those of earlier versions hold no evacuations, and are null without a document.
 */
type Snapshot = Partial<VersionedDocument> & { evacuations?: EvacuationUpdate };

/**
 * State machine that holds the document with the highest committed version and the evacuated data
 * centres.
 */
export class ConfigurationState implements StateMachine {
  current: VersionedDocument | undefined;

  private readonly evacuations = new Evacuations();

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

  get evacuation(): EvacuationUpdate {
    return this.evacuations.current;
  }

  apply(command: Uint8Array): ApplyResult | EvacuationResult {
    const { evacuation, ...proposed } = decode(command) as Command;
    if (evacuation) {
      const result = this.evacuations.apply(evacuation);
      this.options.onChanged();
      return result;
    }
    if (this.current && proposed.version <= this.current.version) return 'superseded';
    this.current = proposed;
    this.options.onChanged();
    return 'adopted';
  }

  takeSnapshot(): Uint8Array {
    const snapshot: Snapshot = { ...this.current, evacuations: this.evacuation };
    return encode(snapshot);
  }

  restore(state: Uint8Array): void {
    const snapshot = (decode(state) as Snapshot | null) ?? {};
    const { version, document, evacuations = { revision: 0, dataCentres: [] } } = snapshot;
    this.current =
      version === undefined || document === undefined ? undefined : { version, document };
    this.evacuations.restore(evacuations);
    this.options.onChanged();
  }
}

/** Encodes a document as a command for {@link ConfigurationState.apply}. */
export function encodeProposal(document: VersionedDocument): Uint8Array {
  return encode(document);
}

/**
 * Encodes an order as a command. It also looks like a document of version 0, which processes of
 * earlier versions ignore.
 */
export function encodeOrder(evacuation: EvacuationOrder): Uint8Array {
  const command: Command = { version: 0, document: new Uint8Array(), evacuation };
  return encode(command);
}
