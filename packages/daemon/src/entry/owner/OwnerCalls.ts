import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  AnnounceRequestSchema,
  AnnounceResponseSchema,
  MarkDecodingRequestSchema,
  ReleaseRequestSchema,
  ReserveRequestSchema,
  ReserveResponseSchema,
  SummarySchema,
} from '@azurecart/protocol';

export type ReserveCall = MessageInitShape<typeof ReserveRequestSchema>;
export type ReserveAnswer = MessageInitShape<typeof ReserveResponseSchema>;
export type ReleaseCall = MessageInitShape<typeof ReleaseRequestSchema>;
export type MarkDecodingCall = MessageInitShape<typeof MarkDecodingRequestSchema>;
export type AnnounceCall = MessageInitShape<typeof AnnounceRequestSchema>;
export type AnnounceAnswer = MessageInitShape<typeof AnnounceResponseSchema>;
export type SummaryMessage = MessageInitShape<typeof SummarySchema>;

/** What the owner of a shard does for entry processes, near or far. */
export interface OwnerCalls {
  /** Waits for engine memory; ends early when the signal aborts. */
  reserve(call: ReserveCall, signal: AbortSignal): Promise<ReserveAnswer>;
  release(call: ReleaseCall): Promise<void>;
  markDecoding(call: MarkDecodingCall): Promise<void>;
  announce(call: AnnounceCall): Promise<AnnounceAnswer>;
  summarise(shard: string): Promise<SummaryMessage>;
}
