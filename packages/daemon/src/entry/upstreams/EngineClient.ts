import { randomUUID } from 'node:crypto';
import { Agent, request as startRequest } from 'node:http';
import { engineStateSchema, UpstreamPath } from '@azurecart/protocol';
import type { Command, CommandAction, EngineState } from '@azurecart/protocol';
import type { Secret } from '../../secrets/index.js';
import { EngineError } from './EngineError.js';

export interface EngineClientOptions {
  upstreamSecret: Secret;
}

interface JsonResponse {
  status: number;
  text: string;
}

const REQUEST_TIMEOUT_MS = 1000;
/** Timeout of the command that loads a model; shorter than the lifetime of a load permit. */
const LOAD_TIMEOUT_MS = 10_000;
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Client of the engines' management endpoints: reads their state and sends them commands. */
export class EngineClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4 });

  /** Addresses whose last request failed; the next request to them bypasses the connection pool. */
  private readonly failedAddresses = new Set<string>();

  constructor(private readonly options: EngineClientOptions) {}

  /**
   * Gets the state that an engine reports.
   * @throws EngineError when the request fails or times out before the response starts, the status
   * is not 200, or the state does not match its schema.
   * @throws SyntaxError when the response is not JSON.
   * @throws Error of the connection when it fails or times out while the body is read.
   */
  async getState(address: string): Promise<EngineState> {
    const response = await this.request(
      address,
      'GET',
      UpstreamPath.state,
      undefined,
      REQUEST_TIMEOUT_MS,
    );
    if (response.status !== 200) throw new EngineError(`state request: status ${response.status}`);
    const parsed = engineStateSchema.safeParse(JSON.parse(response.text));
    if (!parsed.success) throw new EngineError(`invalid engine state: ${parsed.error.message}`);
    return parsed.data;
  }

  /**
   * Sends a command with a fencing token.
   * @throws EngineError when the engine rejects the command, or the request fails or times out
   * before the response starts.
   * @throws Error of the connection when it fails or times out while the body is read.
   */
  async sendCommand(address: string, fence: number, action: CommandAction): Promise<void> {
    const command: Command = { id: randomUUID(), fence, action };
    const timeoutMs = action.kind === 'load' ? LOAD_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
    const body = JSON.stringify(command);
    const response = await this.request(address, 'POST', UpstreamPath.commands, body, timeoutMs);
    if (response.status === 200) return;
    throw new EngineError(
      `${action.kind} command: status ${response.status}: ${response.text.slice(0, 200)}`,
    );
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  private async request(
    address: string,
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<JsonResponse> {
    try {
      const response = await this.sendRequest(address, method, path, body, timeoutMs);
      this.failedAddresses.delete(address);
      return response;
    } catch (error) {
      this.failedAddresses.add(address);
      throw error;
    }
  }

  private sendRequest(
    address: string,
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<JsonResponse> {
    return new Promise((resolve, reject) => {
      const httpRequest = startRequest(new URL(path, address), {
        method,
        agent: this.failedAddresses.has(address) ? false : this.agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          authorization: this.options.upstreamSecret.authorization,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
      });
      httpRequest.on('error', (cause) =>
        reject(new EngineError(`request to ${path} failed`, { cause })),
      );
      httpRequest.on('response', (response) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          if (bytes > MAX_BODY_BYTES) response.destroy(new EngineError('answer too long'));
          else chunks.push(chunk);
        });
        response.on('error', reject);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          resolve({ status: response.statusCode ?? 0, text });
        });
      });
      httpRequest.end(body);
    });
  }
}
