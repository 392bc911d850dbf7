import type { TokenUsage } from './ResponseWriter.js';

/** Properties that all chunks of a completion share. */
export interface CompletionFormatOptions {
  kind: 'chat' | 'text';
  id: string;
  model: string;
}

/** Creates the response objects of the completions protocol. */
export class CompletionFormat {
  private readonly created = Math.floor(Date.now() / 1000);

  constructor(private readonly options: CompletionFormatOptions) {}

  get id(): string {
    return this.options.id;
  }

  /** Creates one chunk of a streamed completion. */
  createChunk(text: string, reason: string | null): Record<string, unknown> {
    const content = text === '' ? {} : { content: text };
    const choice = this.isChat ? { delta: content } : { text };
    return {
      ...this.getCommonFields(this.isChat ? 'chat.completion.chunk' : 'text_completion'),
      choices: [{ index: 0, ...choice, finish_reason: reason }],
    };
  }

  /** Creates the object of a completion that is not streamed. */
  createCompletion(text: string, reason: string, usage: TokenUsage): Record<string, unknown> {
    const message = { message: { role: 'assistant', content: text } };
    return {
      ...this.getCommonFields(this.isChat ? 'chat.completion' : 'text_completion'),
      choices: [{ index: 0, ...(this.isChat ? message : { text }), finish_reason: reason }],
      usage: {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.completionTokens,
        total_tokens: usage.promptTokens + usage.completionTokens,
      },
    };
  }

  private get isChat(): boolean {
    return this.options.kind === 'chat';
  }

  private getCommonFields(object: string): Record<string, unknown> {
    return { id: this.options.id, object, created: this.created, model: this.options.model };
  }
}
