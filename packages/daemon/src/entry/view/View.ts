import type { Release } from '@azurecart/protocol';

/** An entry process that has an open session with the control cluster. */
export interface SessionView {
  id: string;
  vm: string;
  dataCentre: string;
  address: string;
  isDraining: boolean;
}

/** Ownership of a shard of upstreams by a session, with its fencing token. */
export interface OwnerView {
  shard: string;
  session: string;
  fence: number;
}

/** Snapshot of the replicated control state, as received by an entry process. */
export interface View {
  version: number;
  releaseNumber: number;
  release: Release | undefined;
  sessions: Map<string, SessionView>;
  owners: Map<string, OwnerView>;
}

/** View before the first one has been received from the control cluster. */
export const EMPTY_VIEW: View = {
  version: 0,
  releaseNumber: 0,
  release: undefined,
  sessions: new Map(),
  owners: new Map(),
};
