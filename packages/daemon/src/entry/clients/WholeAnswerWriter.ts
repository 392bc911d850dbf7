import type { ServerResponse } from 'node:http';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import { sendJson } from '../../http/index.js';
import type { AnswerFormat } from './AnswerFormat.js';
import type { AnswerWriter, Usage } from './AnswerWriter.js';
import type { ApiFault } from './ApiFault.js';

/** Collects the answer and sends it as one JSON document. */
export class WholeAnswerWriter implements AnswerWriter {
  private readonly pieces: string[] = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly format: AnswerFormat,
  ) {}

  async write(text: string): Promise<void> {
    this.pieces.push(text);
  }

  finish(reason: string, usage: Usage): void {
    const body = this.format.getWhole(this.pieces.join(''), reason, usage);
    sendJson(this.response, 200, body, {
      [OUTCOME_HEADER]: 'completed',
      'azurecart-request-id': this.format.id,
    });
  }

  fail(fault: ApiFault): void {
    fault.send(this.response, { 'azurecart-request-id': this.format.id });
  }
}
