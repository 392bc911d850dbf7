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

export type ReserveRequestInit = MessageInitShape<typeof ReserveRequestSchema>;
export type ReserveAnswer = MessageInitShape<typeof ReserveResponseSchema>;
export type ReleaseRequestInit = MessageInitShape<typeof ReleaseRequestSchema>;
export type MarkDecodingRequestInit = MessageInitShape<typeof MarkDecodingRequestSchema>;
export type AnnounceRequestInit = MessageInitShape<typeof AnnounceRequestSchema>;
export type AnnounceAnswer = MessageInitShape<typeof AnnounceResponseSchema>;
export type SummaryMessage = MessageInitShape<typeof SummarySchema>;

/** Operations of shard owners, in this process or a remote one. */
export interface OwnerCalls {
  /** Waits until engine memory is granted or refused; aborting the signal withdraws the request. */
  reserve(request: ReserveRequestInit, signal: AbortSignal): Promise<ReserveAnswer>;
  release(request: ReleaseRequestInit): Promise<void>;
  markDecoding(request: MarkDecodingRequestInit): Promise<void>;
  announce(request: AnnounceRequestInit): Promise<AnnounceAnswer>;
  summarise(shard: string): Promise<SummaryMessage>;
}
