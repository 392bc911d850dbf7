import type { Usage } from './AnswerWriter.js';

/** What all parts of an answer carry. */
export interface AnswerFormatOptions {
  kind: 'chat' | 'text';
  id: string;
  model: string;
}

/** Builds the objects of the completions protocol. */
export class AnswerFormat {
  private readonly created = Math.floor(Date.now() / 1000);

  constructor(private readonly options: AnswerFormatOptions) {}

  get id(): string {
    return this.options.id;
  }

  /** Gets one part of a streamed answer. */
  getPart(text: string, reason: string | null): Record<string, unknown> {
    const content = text === '' ? {} : { content: text };
    const choice = this.isChat ? { delta: content } : { text };
    return {
      ...this.getHead(this.isChat ? 'chat.completion.chunk' : 'text_completion'),
      choices: [{ index: 0, ...choice, finish_reason: reason }],
    };
  }

  /** Gets a whole answer. */
  getWhole(text: string, reason: string, usage: Usage): Record<string, unknown> {
    const message = { message: { role: 'assistant', content: text } };
    return {
      ...this.getHead(this.isChat ? 'chat.completion' : 'text_completion'),
      choices: [{ index: 0, ...(this.isChat ? message : { text }), finish_reason: reason }],
      usage: {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.answerTokens,
        total_tokens: usage.promptTokens + usage.answerTokens,
      },
    };
  }

  private get isChat(): boolean {
    return this.options.kind === 'chat';
  }

  private getHead(object: string): Record<string, unknown> {
    return { id: this.options.id, object, created: this.created, model: this.options.model };
  }
}
