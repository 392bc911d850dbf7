import { OwnerService } from '@azurecart/protocol';
import type { RpcClients } from '../../rpc/index.js';
import type { View } from '../view/index.js';
import type { OwnerCalls } from './OwnerCalls.js';
import { RemoteOwner } from './RemoteOwner.js';

/** What a directory is made of. */
export interface OwnerDirectoryOptions {
  getView: () => View;
  getSession: () => string;
  /** The shards of this process. */
  local: OwnerCalls;
  clients: RpcClients;
}

/** Finds the owner of a shard. */
export class OwnerDirectory {
  constructor(private readonly options: OwnerDirectoryOptions) {}

  /** Gets the owner of a shard; undefined when it has none. */
  getOwner(shard: string): OwnerCalls | undefined {
    const view = this.options.getView();
    const owner = view.owners.get(shard);
    if (!owner) return undefined;
    if (owner.session === this.options.getSession()) return this.options.local;
    const address = view.sessions.get(owner.session)?.address;
    if (!address) return undefined;
    const { clients } = this.options;
    return new RemoteOwner({
      client: clients.getClient(OwnerService, address),
      dropConnection: () => clients.dropConnection(address),
    });
  }

  /** Gets the names of all shards that have an owner. */
  getShards(): string[] {
    return [...this.options.getView().owners.keys()];
  }
}
