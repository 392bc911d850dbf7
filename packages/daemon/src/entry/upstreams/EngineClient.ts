import { randomUUID } from 'node:crypto';
import { Agent, request as startRequest } from 'node:http';
import { engineStateSchema, UpstreamPath } from '@azurecart/protocol';
import type { Command, CommandAction, EngineState } from '@azurecart/protocol';
import type { Secret } from '../../secrets/index.js';
import { EngineFault } from './EngineFault.js';

/** What calls to engines need. */
export interface EngineClientOptions {
  upstreamSecret: Secret;
}

interface JsonAnswer {
  status: number;
  text: string;
}

const TIMEOUT_MS = 1000;
/** Loading a model takes longer than other commands. */
const LOAD_TIMEOUT_MS = 10_000;
const BODY_LIMIT_BYTES = 8 * 1024 * 1024;

/** Asks engines for their state and gives them commands. */
export class EngineClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4 });

  /** Addresses whose last call failed: the next one opens a fresh connection. */
  private readonly failing = new Set<string>();

  constructor(private readonly options: EngineClientOptions) {}

  /** Gets what an engine says about itself. */
  async getState(address: string): Promise<EngineState> {
    const answer = await this.call(address, 'GET', UpstreamPath.state, undefined, TIMEOUT_MS);
    if (answer.status !== 200) throw new EngineFault(`state: status ${answer.status}`);
    const parsed = engineStateSchema.safeParse(JSON.parse(answer.text));
    if (!parsed.success) throw new EngineFault(`state: ${parsed.error.message}`);
    return parsed.data;
  }

  /**
   * Gives a command under a fencing number.
   * @throws EngineFault when the engine refuses or does not answer in time.
   */
  async send(address: string, fence: number, action: CommandAction): Promise<void> {
    const command: Command = { id: randomUUID(), fence, action };
    const timeoutMs = action.kind === 'load' ? LOAD_TIMEOUT_MS : TIMEOUT_MS;
    const body = JSON.stringify(command);
    const answer = await this.call(address, 'POST', UpstreamPath.commands, body, timeoutMs);
    if (answer.status === 200) return;
    throw new EngineFault(`${action.kind}: status ${answer.status} ${answer.text.slice(0, 200)}`);
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  private async call(
    address: string,
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<JsonAnswer> {
    try {
      const answer = await this.exchange(address, method, path, body, timeoutMs);
      this.failing.delete(address);
      return answer;
    } catch (error) {
      this.failing.add(address);
      throw error;
    }
  }

  private exchange(
    address: string,
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<JsonAnswer> {
    return new Promise((resolve, reject) => {
      const request = startRequest(new URL(path, address), {
        method,
        agent: this.failing.has(address) ? false : this.agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          authorization: this.options.upstreamSecret.authorization,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
      });
      request.on('error', (cause) => reject(new EngineFault(`${path} failed`, { cause })));
      request.on('response', (response) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          if (bytes > BODY_LIMIT_BYTES) response.destroy(new EngineFault('answer too long'));
          else chunks.push(chunk);
        });
        response.on('error', reject);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          resolve({ status: response.statusCode ?? 0, text });
        });
      });
      request.end(body);
    });
  }
}
