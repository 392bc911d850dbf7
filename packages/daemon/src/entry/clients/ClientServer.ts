import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { ConnectionTable, Ingress } from '@azurecart/ingress';
import type { Logger } from '@azurecart/telemetry';
import type { AdminRoutes } from '../../http/index.js';
import {
  closeServer,
  createHttpServer,
  createIngress,
  listen,
  sendJson,
} from '../../http/index.js';
import type { EntrySettings } from '../../settings/index.js';
import type { EntryMetrics } from '../metrics/index.js';
import type { ConfigurationLease, View } from '../view/index.js';
import { isUpstreamMessagePath } from './UpstreamMessageRouter.js';
import type { UpstreamMessageRouter } from './UpstreamMessageRouter.js';
import { ApiError } from './ApiError.js';
import { createBadRequest, createUnavailable, createUnknownOutcome } from './apiErrors.js';
import type { Authenticator } from './Authenticator.js';
import type { CompletionHandler } from './CompletionHandler.js';
import type { ServiceHandler } from './ServiceHandler.js';

export interface ClientServerOptions {
  settings: EntrySettings;
  getView: () => View;
  lease: ConfigurationLease;
  admin: AdminRoutes;
  upstreamMessages: UpstreamMessageRouter;
  completions: CompletionHandler;
  services: ServiceHandler;
  authenticator: Authenticator;
  metrics: EntryMetrics;
  logger: Logger;
}

/** Time for which an idle connection of a client is kept open. */
const KEEP_ALIVE_MS = 30_000;
const MAX_HEADER_COUNT = 100;
/** Granularity of the header and body timeouts: connections are checked at this interval. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Bytes as received of a refused request, for each byte that a body may have; includes framing. */
const DRAIN_FACTOR = 2;
const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'];

/** HTTP server for clients and upstreams. */
export class ClientServer {
  private readonly server: Server;

  private readonly ingress: Ingress;

  private openCount = 0;

  private isStopping = false;

  constructor(private readonly options: ClientServerOptions) {
    const { limits, listen: listener } = options.settings;
    this.ingress = createIngress({
      name: 'clients',
      logger: options.logger,
      maxConnections: limits.connections,
      maxDescriptors: limits.descriptors,
      readerTimeoutMs: limits.readerTimeoutMs,
      maxDrainBytes: DRAIN_FACTOR * limits.bodyBytes,
    });
    this.server = createHttpServer(
      listener,
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      },
      this.ingress,
      (request, response) => {
        this.handleRequest(request, response).catch(() => response.destroy());
      },
    );
    this.server.maxHeadersCount = MAX_HEADER_COUNT;
  }

  /** Gets the number of requests in progress, without those to the admin routes. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Gets the state of the connections of clients. */
  get connections(): ConnectionTable {
    return this.ingress.table;
  }

  async start(): Promise<void> {
    await listen(this.server, this.options.settings.listen);
  }

  /** Closes each connection after its next request; new connections are still accepted. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes all remaining connections. */
  async stop(): Promise<void> {
    await closeServer(this.server);
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.options.admin.handle(request, response)) return;
    this.openCount += 1;
    response.on('error', () => response.destroy());
    if (this.isStopping) response.setHeader('connection', 'close');
    try {
      await this.route(request, response);
    } catch (error) {
      this.sendError(error, request, response);
    } finally {
      this.openCount -= 1;
    }
  }

  private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? '';
    const { upstreamMessages, completions, services, lease, getView } = this.options;
    if (isUpstreamMessagePath(path)) {
      await upstreamMessages.handle(path, request, response);
      return;
    }
    const { release } = getView();
    if (!lease.isHeld || !release) {
      throw createUnavailable('no_configuration', 'this process has no configuration in force');
    }
    if (COMPLETION_PATHS.includes(path)) {
      checkMethod(request, 'POST');
      await completions.handle(request, response, release);
      return;
    }
    if (path === '/v1/models') {
      this.sendModels(request, response);
      return;
    }
    const service = services.getService(path, release);
    if (!service) throw createBadRequest(`no such path: ${path.slice(0, 100)}`, 'not_found', 404);
    await services.handle(request, response, release, service);
  }

  private sendModels(request: IncomingMessage, response: ServerResponse): void {
    const { release } = this.options.getView();
    if (!release) return;
    const customer = this.options.authenticator.getCustomerOrThrow(request.headers, release);
    const allowed = release.models.filter(
      ({ name }) => customer.models === undefined || customer.models.includes(name),
    );
    const data = allowed.map(({ name }) => ({ id: name, object: 'model', owned_by: 'azurecart' }));
    sendJson(response, 200, { object: 'list', data });
  }

  /**
   * Sends an error and counts it with the priority `none`, since the request's priority is not
   * available here. Nothing is sent or counted when the response headers were already sent; the
   * completion handler counts the errors that it sends itself.
   */
  private sendError(error: unknown, request: IncomingMessage, response: ServerResponse): void {
    const apiError = error instanceof ApiError ? error : this.createInternalError(error);
    if (!response.headersSent) {
      const { code, outcome } = apiError.options;
      this.options.metrics.recordOutcome('none', code, outcome);
      response.setHeader('connection', 'close');
      apiError.send(response);
    }
    request.resume();
  }

  private createInternalError(error: unknown): ApiError {
    this.options.logger.error({ err: error }, 'request failed unexpectedly');
    return createUnknownOutcome('internal', 'the request failed inside the system', 500);
  }
}

function checkMethod(request: IncomingMessage, method: string): void {
  if (request.method === method) return;
  throw createBadRequest(`${method} is needed`, 'method_not_allowed', 405);
}
