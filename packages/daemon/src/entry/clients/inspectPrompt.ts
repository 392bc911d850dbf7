import { estimateTokens, getPromptText, hashPrefixes, promptSchema } from '@azurecart/protocol';

/** What the system needs to know of a prompt. */
export interface PromptSummary {
  model: string;
  isStreamed: boolean;
  promptTokens: number;
  maxTokens: number;
  prefixes: string[];
}

/** A summary, or what is wrong with the body. */
export type Inspection = { summary: PromptSummary } | { fault: string };

const DEFAULT_MAX_TOKENS = 256;

/** Parses a prompt's body. Takes time in proportion to its length. */
export function inspectPrompt(bytes: Uint8Array): Inspection {
  const parsed = parseJson(bytes);
  if ('fault' in parsed) return parsed;
  const result = promptSchema.safeParse(parsed.value);
  if (!result.success) return { fault: describe(result.error.issues) };
  const text = getPromptText(result.data);
  const { model, stream } = result.data;
  const maxTokens = result.data.max_completion_tokens ?? result.data.max_tokens;
  return {
    summary: {
      model,
      isStreamed: stream ?? false,
      promptTokens: estimateTokens(text),
      maxTokens: maxTokens ?? DEFAULT_MAX_TOKENS,
      prefixes: hashPrefixes(text),
    },
  };
}

function parseJson(bytes: Uint8Array): { value: unknown } | { fault: string } {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(bytes);
    return { value: JSON.parse(text) };
  } catch (error) {
    return { fault: `the body is not JSON: ${(error as Error).message.slice(0, 200)}` };
  }
}

function describe(issues: { path: PropertyKey[]; message: string }[]): string {
  return issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ');
}
