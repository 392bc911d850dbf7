import type { ConnectRouter } from '@connectrpc/connect';
import { OwnerService } from '@azurecart/protocol';
import type { OwnerApi } from './OwnerApi.js';

/** Registers the RPC service by which other entry processes call the owners in this one. */
export function addOwnerRoutes(router: ConnectRouter, owners: OwnerApi): void {
  router.service(OwnerService, {
    reserve: (request, context) => owners.reserve(request, context.signal),
    release: async (request) => {
      await owners.release(request);
      return {};
    },
    markDecoding: async (request) => {
      await owners.markDecoding(request);
      return {};
    },
    announce: (request) => owners.announce(request),
    summarise: async ({ shard }) => ({ summary: await owners.summarise(shard) }),
  });
}
