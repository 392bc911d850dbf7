import type { ServerResponse } from 'node:http';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import { sendJson } from '../../http/index.js';
import type { ApiError } from './ApiError.js';
import type { CompletionFormat } from './CompletionFormat.js';
import type { ResponseWriter, TokenUsage } from './ResponseWriter.js';

/** Buffers a completion and sends it as one JSON document. */
export class BufferedResponseWriter implements ResponseWriter {
  private readonly texts: string[] = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly format: CompletionFormat,
  ) {}

  async write(text: string): Promise<void> {
    this.texts.push(text);
  }

  finish(reason: string, usage: TokenUsage): void {
    const body = this.format.createCompletion(this.texts.join(''), reason, usage);
    sendJson(this.response, 200, body, {
      [OUTCOME_HEADER]: 'completed',
      'azurecart-request-id': this.format.id,
    });
  }

  fail(error: ApiError): void {
    error.send(this.response, { 'azurecart-request-id': this.format.id });
  }
}
