import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import type { AnswerFormat } from './AnswerFormat.js';
import type { AnswerWriter } from './AnswerWriter.js';
import type { ApiFault } from './ApiFault.js';

/**
 * Writes the answer as server-sent events. The outcome follows in a trailer, and only a whole
 * answer ends with the mark `[DONE]`.
 */
export class StreamedAnswerWriter implements AnswerWriter {
  constructor(
    private readonly response: ServerResponse,
    private readonly format: AnswerFormat,
  ) {}

  async write(text: string): Promise<void> {
    this.start();
    if (this.send(this.format.getPart(text, null))) return;
    if (this.response.destroyed) return;
    await Promise.race([once(this.response, 'drain'), once(this.response, 'close')]);
  }

  finish(reason: string): void {
    this.start();
    this.send(this.format.getPart('', reason));
    this.response.write('data: [DONE]\n\n');
    this.end('completed');
  }

  fail(fault: ApiFault): void {
    if (!this.response.headersSent) {
      fault.send(this.response, { 'azurecart-request-id': this.format.id });
      return;
    }
    this.send(fault.toBody());
    this.end(fault.options.outcome);
  }

  private start(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      trailer: OUTCOME_HEADER,
      'azurecart-request-id': this.format.id,
    });
  }

  private send(part: unknown): boolean {
    return this.response.write(`data: ${JSON.stringify(part)}\n\n`);
  }

  private end(outcome: string): void {
    this.response.addTrailers({ [OUTCOME_HEADER]: outcome });
    this.response.end();
  }
}
