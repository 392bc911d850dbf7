import type { Release } from '@azurecart/protocol';

/** An entry process of the system. */
export interface SessionView {
  id: string;
  vm: string;
  dataCentre: string;
  address: string;
  isDraining: boolean;
}

/** The owner of a shard of upstreams. */
export interface OwnerView {
  shard: string;
  session: string;
  fence: number;
}

/** What an entry process knows of the system's durable state. */
export interface View {
  version: number;
  releaseNumber: number;
  release: Release | undefined;
  sessions: Map<string, SessionView>;
  owners: Map<string, OwnerView>;
}

/** What an entry process knows before it has heard from control. */
export const EMPTY_VIEW: View = {
  version: 0,
  releaseNumber: 0,
  release: undefined,
  sessions: new Map(),
  owners: new Map(),
};
