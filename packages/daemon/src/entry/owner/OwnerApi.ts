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
export type ReserveResponseInit = MessageInitShape<typeof ReserveResponseSchema>;
export type ReleaseRequestInit = MessageInitShape<typeof ReleaseRequestSchema>;
export type MarkDecodingRequestInit = MessageInitShape<typeof MarkDecodingRequestSchema>;
export type AnnounceRequestInit = MessageInitShape<typeof AnnounceRequestSchema>;
export type AnnounceResponseInit = MessageInitShape<typeof AnnounceResponseSchema>;
export type SummaryInit = MessageInitShape<typeof SummarySchema>;

/** Operations of shard owners, in this process or a remote one. */
export interface OwnerApi {
  /** Waits until engine memory is granted or refused; aborting the signal withdraws the request. */
  reserve(request: ReserveRequestInit, signal: AbortSignal): Promise<ReserveResponseInit>;
  release(request: ReleaseRequestInit): Promise<void>;
  markDecoding(request: MarkDecodingRequestInit): Promise<void>;
  announce(request: AnnounceRequestInit): Promise<AnnounceResponseInit>;
  summarise(shard: string): Promise<SummaryInit>;
}
