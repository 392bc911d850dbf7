import type { Announcement } from '@azurecart/discovery';

/** Outcome of submitting a configuration. */
export type SubmitOutcome =
  /** This version or a higher one is committed. */
  | { kind: 'accepted' }
  | { kind: 'invalid'; reason: string }
  /** The submission may or may not take effect; it is safe to repeat it. */
  | { kind: 'unknown'; reason: string };

/** Outcome of an order to evacuate a data centre or to return it to use. */
export type EvacuationOutcome =
  /** The order is committed, at this revision or an earlier one. */
  | { kind: 'accepted'; revision: number }
  /** The data centre certainly does not exist. */
  | { kind: 'unknownDataCentre' }
  /** The order may or may not take effect; it is safe to repeat it. */
  | { kind: 'unknown'; reason: string };

/** Operations that a control process offers to operators and upstreams. */
export interface ControlInterface {
  submit(document: Uint8Array): Promise<SubmitOutcome>;
  /** Gets the latest document, confirmed by a quorum; undefined if there is none or no quorum. */
  read(): Promise<Uint8Array | undefined>;
  /**
   * Asks that the upstreams of a data centre get no new requests, or withdraws that.
   * @returns Once a quorum has stored the order; entry processes learn of it right afterwards.
   */
  setEvacuated(dataCentre: string, isEvacuated: boolean): Promise<EvacuationOutcome>;
  /**
   * Merges an announcement. If it changes the record and its state is not `ready`, resolves when
   * all subscribers have confirmed the change or timed out; otherwise resolves at once.
   */
  announce(announcement: Announcement): Promise<void>;
  /**
   * Marks an upstream as gone and resolves when all subscribers have confirmed that or timed out.
   * Does nothing for one that is already gone.
   * @param bornAt - Start time (Unix time in milliseconds) of the incarnation that left, if the
   * sender knows it; a later incarnation is not affected.
   * @returns False if the upstream or the incarnation is unknown here, so that nobody was told.
   */
  leave(id: string, bornAt: number | undefined): Promise<boolean>;
}

/** A request to the HTTP server for operators and upstreams, with its complete body. */
export interface ControlRequest {
  method: string;
  path: string;
  body: Uint8Array;
}

/** The response to a {@link ControlRequest}. */
export interface ControlResponse {
  status: number;
  body: Uint8Array;
}

/** Translates between the HTTP protocol of operators and upstreams and a control process. */
export interface ControlProtocol {
  handle(request: ControlRequest, control: ControlInterface): Promise<ControlResponse>;
}
