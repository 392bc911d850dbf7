import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import type { ApiError } from './ApiError.js';
import type { CompletionFormat } from './CompletionFormat.js';
import type { ResponseWriter } from './ResponseWriter.js';

/**
 * Writes a completion as server-sent events. The outcome is sent in a trailer, and only a complete
 * response ends with `data: [DONE]`.
 */
export class StreamingResponseWriter implements ResponseWriter {
  constructor(
    private readonly response: ServerResponse,
    private readonly format: CompletionFormat,
  ) {}

  async write(text: string): Promise<void> {
    this.writeHead();
    if (this.writeEvent(this.format.createChunk(text, null))) return;
    if (this.response.destroyed) return;
    await Promise.race([once(this.response, 'drain'), once(this.response, 'close')]);
  }

  finish(reason: string): void {
    this.writeHead();
    this.writeEvent(this.format.createChunk('', reason));
    this.response.write('data: [DONE]\n\n');
    this.end('completed');
  }

  fail(error: ApiError): void {
    if (!this.response.headersSent) {
      error.send(this.response, { 'azurecart-request-id': this.format.id });
      return;
    }
    this.writeEvent(error.toBody());
    this.end(error.options.outcome);
  }

  private writeHead(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      trailer: OUTCOME_HEADER,
      'azurecart-request-id': this.format.id,
    });
  }

  private writeEvent(data: unknown): boolean {
    return this.response.write(`data: ${JSON.stringify(data)}\n\n`);
  }

  private end(outcome: string): void {
    this.response.addTrailers({ [OUTCOME_HEADER]: outcome });
    this.response.end();
  }
}
