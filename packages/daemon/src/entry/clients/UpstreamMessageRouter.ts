import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { parseDocument, UpstreamPath, ValidationError } from '@azurecart/protocol';
import { sendJson } from '../../http/index.js';
import type { Secret } from '../../secrets/index.js';
import { getShardOf } from '../owner/index.js';
import type { AnnounceResponseInit, OwnerDirectory } from '../owner/index.js';
import type { View } from '../view/index.js';
import { createBadRequest, createUnauthenticated, createUnavailable } from './apiErrors.js';
import { getDeclaredLength, readBody } from './readBody.js';

export interface UpstreamMessageRouterOptions {
  directory: OwnerDirectory;
  upstreamSecret: Secret;
  getView: () => View;
}

const MESSAGE_KINDS = new Map<string, string>([
  [UpstreamPath.announce, 'announce'],
  [UpstreamPath.leave, 'leave'],
  [UpstreamPath.cacheEvents, 'cache-events'],
]);

const BODY_LIMITS = { bodyBytes: 1024 * 1024, bodyTimeoutMs: 5000 };

const senderSchema = z.object({ id: z.string(), dataCentre: z.string() });

/** Tells whether messages of upstreams are sent to a path. */
export function isUpstreamMessagePath(path: string): boolean {
  return MESSAGE_KINDS.has(path);
}

/** Forwards messages of upstreams to the owners of their shards. */
export class UpstreamMessageRouter {
  constructor(private readonly options: UpstreamMessageRouterOptions) {}

  async handle(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { upstreamSecret } = this.options;
    // An upstream with a wrong secret gets the same error as a client with an invalid API key.
    if (!upstreamSecret.matchesAuthorization(request.headers.authorization))
      throw createUnauthenticated();
    const length = getDeclaredLength(request, BODY_LIMITS);
    const body = (await readBody(request, length, BODY_LIMITS)).toString();
    const result = await this.forward(MESSAGE_KINDS.get(path) ?? '', body);
    sendJson(response, result.accepted ? 200 : 409, result);
  }

  private async forward(kind: string, body: string): Promise<AnnounceResponseInit> {
    const sender = parseSenderOrThrow(body);
    const shardCount = this.options.getView().release?.routing.shardsPerDataCentre ?? 1;
    const shard = getShardOf(sender.id, sender.dataCentre, shardCount);
    const owner = this.options.directory.getOwner(shard);
    if (!owner) throw createUnavailable('no_owner', `shard ${shard} has no owner now`);
    try {
      const { accepted, reason, resync } = await owner.announce({ shard, kind, body });
      return { accepted, reason, resync };
    } catch (error) {
      if (error instanceof ValidationError) throw createBadRequest(error.message, 'invalid_body');
      // The message is also sent when the owner did respond, but with an error.
      throw createUnavailable('no_owner', `the owner of shard ${shard} does not answer`);
    }
  }
}

function parseSenderOrThrow(body: string): z.infer<typeof senderSchema> {
  try {
    return parseDocument(senderSchema, body, 'message');
  } catch (error) {
    throw createBadRequest((error as Error).message, 'invalid_body');
  }
}
