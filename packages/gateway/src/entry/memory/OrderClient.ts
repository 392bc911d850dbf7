import { text } from 'node:stream/consumers';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import { UpstreamCall } from '../../upstreams/index.js';
import type { UpstreamAgent } from '../../upstreams/index.js';
import type { EngineOrder, Wire } from '../Wire.js';

/** What sends orders to engines. */
export interface OrderClientOptions {
  wire: Wire;
  agent: UpstreamAgent;
  logger: Logger;
}

const CONNECT_TIMEOUT_MS = 200;
/** Milliseconds after which an order counts as unanswered. */
const ANSWER_TIMEOUT_MS = 400;

/** Gives engines orders about their memory. */
export class OrderClient {
  constructor(private readonly options: OrderClientOptions) {}

  /** Sends an order and gets the status of the answer; undefined when none came in time. */
  async send(upstream: UpstreamRecord, order: EngineOrder): Promise<number | undefined> {
    const { wire, agent, logger } = this.options;
    const { method, path, headers, body } = wire.writeOrder(upstream.id, order);
    const call = new UpstreamCall({
      address: upstream.address,
      method,
      path,
      headers,
      body,
      agent,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const timer = setTimeout(() => call.abort(), ANSWER_TIMEOUT_MS);
    try {
      const response = await call.send();
      await text(response);
      logger.debug({ upstream: upstream.id, order, status: response.statusCode }, 'order');
      return response.statusCode;
    } catch (error) {
      logger.warn({ err: error, upstream: upstream.id, order }, 'order not answered');
      return undefined;
    } finally {
      clearTimeout(timer);
    }
  }
}
