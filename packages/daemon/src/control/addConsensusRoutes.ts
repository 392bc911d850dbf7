import type { ConnectRouter } from '@connectrpc/connect';
import type { LogEntry, Member, Replica } from '@azurecart/consensus';
import { ConsensusService } from '@azurecart/protocol';
import type { LogEntry as EntryMessage } from '@azurecart/protocol';
import { toConnectError } from '../rpc/index.js';

/** Adds the RPC methods by which the other control processes call a replica. */
export function addConsensusRoutes(router: ConnectRouter, replica: Replica, name: string): void {
  router.service(ConsensusService, {
    async vote(request) {
      const response = await replica.vote({
        ...request,
        term: Number(request.term),
        lastIndex: Number(request.lastIndex),
        lastTerm: Number(request.lastTerm),
      });
      return { term: BigInt(response.term), granted: response.granted };
    },
    async append(request) {
      const response = await replica.append({
        to: request.to,
        leader: request.leader,
        term: Number(request.term),
        previousIndex: Number(request.previousIndex),
        previousTerm: Number(request.previousTerm),
        commitIndex: Number(request.commitIndex),
        entries: request.entries.map(fromLogEntryMessage),
      });
      return {
        term: BigInt(response.term),
        success: response.success,
        matchIndex: BigInt(response.matchIndex),
      };
    },
    async installSnapshot(request) {
      const response = await replica.installSnapshot({
        to: request.to,
        leader: request.leader,
        term: Number(request.term),
        index: Number(request.index),
        indexTerm: Number(request.indexTerm),
        members: JSON.parse(request.members) as Member[],
        state: request.state,
      });
      return { term: BigInt(response.term) };
    },
    probe() {
      return { id: replica.id, name, initialised: replica.isInitialised };
    },
    join({ id, name: memberName, address }) {
      try {
        replica.addMember({ id, name: memberName, address });
        return { accepted: true, leaderAddress: '' };
      } catch (error) {
        throw toConnectError(error);
      }
    },
  });
}

function fromLogEntryMessage(entry: EntryMessage): LogEntry {
  return {
    index: Number(entry.index),
    term: Number(entry.term),
    kind: entry.kind as LogEntry['kind'],
    payload: entry.payload,
  };
}
