import { text } from 'node:stream/consumers';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import { UpstreamCall, UpstreamError } from '../../upstreams/index.js';
import type { UpstreamAgent } from '../../upstreams/index.js';
import type { EngineCommand, EntryProtocol } from '../EntryProtocol.js';
import type { UpstreamStatements } from '../UpstreamStatements.js';

export interface EngineCommandClientOptions {
  protocol: EntryProtocol;
  agent: UpstreamAgent;
  statements: UpstreamStatements;
  logger: Logger;
}

/** Timeout for establishing a connection to an engine, in milliseconds. */
const CONNECT_TIMEOUT_MS = 200;
/** Milliseconds after which a command without a response counts as unanswered. */
const RESPONSE_TIMEOUT_MS = 400;

/** Sends commands to engines: memory reservations, releases and requests for a report. */
export class EngineCommandClient {
  constructor(private readonly options: EngineCommandClientOptions) {}

  /** Sends a command and gets the status code of the response; undefined if none came in time. */
  async send(upstream: UpstreamRecord, command: EngineCommand): Promise<number | undefined> {
    const { status } = await this.exchange(upstream, command);
    return status;
  }

  /** Requests a report; true if the engine responds or resets the connection. */
  async isAlive(upstream: UpstreamRecord): Promise<boolean> {
    const { status, isReset = false } = await this.exchange(upstream, { kind: 'report' });
    return status !== undefined || isReset;
  }

  private async exchange(
    upstream: UpstreamRecord,
    command: EngineCommand,
  ): Promise<{ status?: number; isReset?: boolean }> {
    const { protocol, agent, statements, logger } = this.options;
    const { method, path, headers, body } = protocol.buildCommandRequest(upstream.id, command);
    const call = new UpstreamCall({
      address: upstream.address,
      method,
      path,
      headers,
      body,
      agent,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const timer = setTimeout(() => call.abort(), RESPONSE_TIMEOUT_MS);
    try {
      const response = await call.send();
      const status = response.statusCode ?? 0;
      statements.record(upstream, status, protocol.parseResponse(status, response.headers));
      await text(response);
      // The log field for the command is `order`.
      logger.debug(
        { upstream: upstream.id, order: command, status: response.statusCode },
        'engine command answered',
      );
      return { status };
    } catch (error) {
      logger.warn(
        { err: error, upstream: upstream.id, order: command },
        'engine command not answered',
      );
      return { isReset: error instanceof UpstreamError && error.isReset };
    } finally {
      clearTimeout(timer);
    }
  }
}
