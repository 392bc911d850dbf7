import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import type { Timeline } from '@azurecart/telemetry';
import type { Secret } from '../secrets/index.js';
import { sendJson } from './sendJson.js';

/** Options of {@link AdminRoutes}. */
export interface AdminRoutesOptions {
  registry: Registry;
  timeline: Timeline;
  operatorSecret: Secret;
  /** Gets the reason why the process is not ready; undefined when it is ready. */
  getNotReadyReason: () => string | undefined;
}

/** HTTP routes for liveness, readiness, metrics and the timeline. */
export class AdminRoutes {
  constructor(private readonly options: AdminRoutesOptions) {}

  /**
   * Handles a request of an operator or of the load balancer.
   * @returns False when the path is none of these routes; no response has been sent then.
   */
  handle(request: IncomingMessage, response: ServerResponse): boolean {
    const path = (request.url ?? '').split('?')[0];
    switch (path) {
      case '/healthz':
        sendJson(response, 200, { status: 'alive' });
        return true;
      case '/readyz':
        this.sendReadiness(response);
        return true;
      case '/metrics':
        this.sendMetrics(response).catch(() => response.destroy());
        return true;
      case '/timeline':
        this.sendTimeline(request, response);
        return true;
      default:
        return false;
    }
  }

  private sendReadiness(response: ServerResponse): void {
    const reason = this.options.getNotReadyReason();
    const status = reason === undefined ? 200 : 503;
    sendJson(response, status, reason === undefined ? { status: 'ready' } : { status: reason });
  }

  private async sendMetrics(response: ServerResponse): Promise<void> {
    const { registry } = this.options;
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType });
    response.end(text);
  }

  private sendTimeline(request: IncomingMessage, response: ServerResponse): void {
    if (!this.options.operatorSecret.matchesAuthorization(request.headers.authorization)) {
      sendJson(response, 401, { error: { message: 'operator secret needed' } });
      return;
    }
    const lines = this.options.timeline.getRecent().map((event) => `${JSON.stringify(event)}\n`);
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.end(lines.join(''));
  }
}
