import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Logger } from '@azurecart/telemetry';
import type { AdminRoutes } from '../../http/index.js';
import { closeServer, createHttpServer, listen, sendJson } from '../../http/index.js';
import type { EntrySettings } from '../../settings/index.js';
import type { Measures } from '../measures/index.js';
import type { ConfigurationLease, View } from '../view/index.js';
import { isAnnouncementPath } from './AnnouncementRouter.js';
import type { AnnouncementRouter } from './AnnouncementRouter.js';
import { ApiFault } from './ApiFault.js';
import { createBadRequest, createRefusal, createUnknown } from './apiFaults.js';
import type { Authenticator } from './Authenticator.js';
import type { CompletionHandler } from './CompletionHandler.js';
import type { ServiceHandler } from './ServiceHandler.js';

/** What the server routes requests to. */
export interface ClientServerOptions {
  settings: EntrySettings;
  getView: () => View;
  lease: ConfigurationLease;
  admin: AdminRoutes;
  announcements: AnnouncementRouter;
  completions: CompletionHandler;
  services: ServiceHandler;
  authenticator: Authenticator;
  measures: Measures;
  logger: Logger;
}

const KEEP_ALIVE_MS = 30_000;
const HEADER_COUNT = 100;
const CHECK_MS = 500;
const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'];

/** The listener for clients and upstreams. */
export class ClientServer {
  private readonly server: Server;

  private open = 0;

  private isStopping = false;

  constructor(private readonly options: ClientServerOptions) {
    const { limits, listen: listener } = options.settings;
    this.server = createHttpServer(
      listener,
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connectionsCheckingInterval: CHECK_MS,
      },
      (request, response) => {
        this.serve(request, response).catch(() => response.destroy());
      },
    );
    this.server.maxHeadersCount = HEADER_COUNT;
  }

  /** Gets the number of requests in progress. */
  get openRequests(): number {
    return this.open;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await listen(this.server, this.options.settings.listen);
  }

  /** Answers on existing connections, and closes each after its request. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** Takes no new connections and closes the idle ones. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes what is left. */
  async stop(): Promise<void> {
    await closeServer(this.server);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.options.admin.handle(request, response)) return;
    this.open += 1;
    response.on('error', () => response.destroy());
    if (this.isStopping) response.setHeader('connection', 'close');
    try {
      await this.route(request, response);
    } catch (error) {
      this.sendFault(error, request, response);
    } finally {
      this.open -= 1;
    }
  }

  private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? '';
    const { announcements, completions, services, lease, getView } = this.options;
    if (isAnnouncementPath(path)) {
      await announcements.handle(path, request, response);
      return;
    }
    const { release } = getView();
    if (!lease.isHeld || !release) {
      throw createRefusal('no_configuration', 'this process has no configuration in force');
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

  private sendFault(error: unknown, request: IncomingMessage, response: ServerResponse): void {
    const fault = error instanceof ApiFault ? error : this.toUnexpected(error);
    if (!response.headersSent) {
      const { code, outcome } = fault.options;
      this.options.measures.recordOutcome('none', code, outcome);
      response.setHeader('connection', 'close');
      fault.send(response);
    }
    request.resume();
  }

  private toUnexpected(error: unknown): ApiFault {
    this.options.logger.error({ err: error }, 'request failed unexpectedly');
    return createUnknown('internal', 'the request failed inside the system', 500);
  }
}

function checkMethod(request: IncomingMessage, method: string): void {
  if (request.method === method) return;
  throw createBadRequest(`${method} is needed`, 'method_not_allowed', 405);
}
