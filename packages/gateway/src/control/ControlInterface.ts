import type { Announcement } from '@azurecart/discovery';

/** How the submission of a configuration ended. */
export type SubmitOutcome =
  /** A quorum holds this version or a higher one. */
  | { kind: 'accepted' }
  | { kind: 'invalid'; reason: string }
  /** It may or may not take effect later; the same submission may be repeated. */
  | { kind: 'unknown'; reason: string };

/** What operators and upstreams may ask of a control process. */
export interface ControlInterface {
  submit(document: Uint8Array): Promise<SubmitOutcome>;
  /** Gets the newest document; undefined when this process cannot be sure which one that is. */
  read(): Promise<Uint8Array | undefined>;
  /** Takes an announcement and resolves once entry processes have been told of a departure. */
  announce(announcement: Announcement): Promise<void>;
  /** Takes the departure of an upstream; the incarnation is unknown to some senders. */
  leave(id: string, bornAt: number | undefined): Promise<void>;
}

/** A request on the operators' address, body included. */
export interface ControlRequest {
  method: string;
  path: string;
  body: Uint8Array;
}

/** The answer to a {@link ControlRequest}. */
export interface ControlReply {
  status: number;
  body: Uint8Array;
}

/** Translates the protocol of operators and upstreams. */
export interface ControlProtocol {
  handle(request: ControlRequest, control: ControlInterface): Promise<ControlReply>;
}
