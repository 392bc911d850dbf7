import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { parseDocument, UpstreamPath, ValidationFault } from '@azurecart/protocol';
import { sendJson } from '../../http/index.js';
import type { Secret } from '../../secrets/index.js';
import { getShardOf } from '../owner/index.js';
import type { AnnounceAnswer, OwnerDirectory } from '../owner/index.js';
import type { View } from '../view/index.js';
import { createBadRequest, createRefusal, createUnauthenticated } from './apiFaults.js';
import { getDeclaredLength, readBody } from './readBody.js';

/** What the router needs. */
export interface AnnouncementRouterOptions {
  directory: OwnerDirectory;
  upstreamSecret: Secret;
  getView: () => View;
}

const KINDS = new Map<string, string>([
  [UpstreamPath.announce, 'announce'],
  [UpstreamPath.leave, 'leave'],
  [UpstreamPath.cacheEvents, 'cache-events'],
]);

const LIMITS = { bodyBytes: 1024 * 1024, bodyTimeoutMs: 5000 };

const senderSchema = z.object({ id: z.string(), dataCentre: z.string() });

/** Tells whether a path is one for messages of upstreams. */
export function isAnnouncementPath(path: string): boolean {
  return KINDS.has(path);
}

/** Passes the messages of upstreams on to the owners of their shards. */
export class AnnouncementRouter {
  constructor(private readonly options: AnnouncementRouterOptions) {}

  /** Handles a message. */
  async handle(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { upstreamSecret } = this.options;
    if (!upstreamSecret.isPresentedBy(request.headers.authorization)) throw createUnauthenticated();
    const length = getDeclaredLength(request, LIMITS);
    const body = (await readBody(request, length, LIMITS)).toString();
    const answer = await this.forward(KINDS.get(path) ?? '', body);
    sendJson(response, answer.accepted ? 200 : 409, answer);
  }

  private async forward(kind: string, body: string): Promise<AnnounceAnswer> {
    const sender = parseOrRefuse(body);
    const count = this.options.getView().release?.routing.shardsPerDataCentre ?? 1;
    const shard = getShardOf(sender.id, sender.dataCentre, count);
    const owner = this.options.directory.getOwner(shard);
    if (!owner) throw createRefusal('no_owner', `shard ${shard} has no owner now`);
    try {
      const { accepted, reason, resync } = await owner.announce({ shard, kind, body });
      return { accepted, reason, resync };
    } catch (error) {
      if (error instanceof ValidationFault) throw createBadRequest(error.message, 'invalid_body');
      throw createRefusal('no_owner', `the owner of shard ${shard} does not answer`);
    }
  }
}

function parseOrRefuse(body: string): z.infer<typeof senderSchema> {
  try {
    return parseDocument(senderSchema, body, 'message');
  } catch (error) {
    throw createBadRequest((error as Error).message, 'invalid_body');
  }
}
