import type { Peer, PeerNetwork } from '@azurecart/consensus';
import { ConsensusService } from '@azurecart/protocol';
import type { RpcClients } from '../rpc/index.js';
import { RpcPeer } from './RpcPeer.js';

/** Connects a replica to the other replicas over RPC. */
export class RpcPeerNetwork implements PeerNetwork {
  constructor(private readonly clients: RpcClients) {}

  openPeer(address: string): Peer {
    return new RpcPeer({
      getClient: () => this.clients.getClient(ConsensusService, address),
      dropConnections: () => this.clients.dropConnections(address),
    });
  }
}
