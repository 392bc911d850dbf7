import { OwnerService } from '@azurecart/protocol';
import type { RpcClients } from '../../rpc/index.js';
import type { View } from '../view/index.js';
import type { OwnerApi } from './OwnerApi.js';
import { RemoteOwner } from './RemoteOwner.js';

export interface OwnerDirectoryOptions {
  getView: () => View;
  getSession: () => string;
  /** Handles calls for the shards that this process owns. */
  local: OwnerApi;
  clients: RpcClients;
}

/** Looks up the owners of shards in the current view. */
export class OwnerDirectory {
  constructor(private readonly options: OwnerDirectoryOptions) {}

  /** Returns the owner of a shard; undefined when it has none or its session is unknown. */
  getOwner(shard: string): OwnerApi | undefined {
    const view = this.options.getView();
    const owner = view.owners.get(shard);
    if (!owner) return undefined;
    if (owner.session === this.options.getSession()) return this.options.local;
    const address = view.sessions.get(owner.session)?.address;
    if (!address) return undefined;
    const { clients } = this.options;
    return new RemoteOwner({
      client: clients.getClient(OwnerService, address),
      dropConnections: () => clients.dropConnections(address),
    });
  }

  /** Returns the names of all shards that have an owner. */
  getShards(): string[] {
    return [...this.options.getView().owners.keys()];
  }
}
