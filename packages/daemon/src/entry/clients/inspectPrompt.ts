import { estimateTokens, getPromptText, hashPrefixes, promptSchema } from '@azurecart/protocol';

/** Properties of a prompt that routing and scheduling use. */
export interface PromptSummary {
  model: string;
  isStreamed: boolean;
  /** Length of the prompt in tokens, estimated from its bytes. */
  promptTokens: number;
  maxTokens: number;
  /** Hashes of the prefixes that end at a block boundary, shortest prefix first. */
  prefixes: string[];
}

/** The summary of a prompt, or a description of what is invalid in its body. */
export type InspectionResult = { summary: PromptSummary } | { error: string };

/** Applies to a request that sets neither `max_completion_tokens` nor `max_tokens`. */
const DEFAULT_MAX_TOKENS = 256;

/** Parses the body of a prompt, in time proportional to its length. */
export function inspectPrompt(bytes: Uint8Array): InspectionResult {
  const parsed = parseJson(bytes);
  if ('error' in parsed) return parsed;
  const result = promptSchema.safeParse(parsed.value);
  if (!result.success) return { error: formatIssues(result.error.issues) };
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

function parseJson(bytes: Uint8Array): { value: unknown } | { error: string } {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(bytes);
    return { value: JSON.parse(text) };
  } catch (error) {
    return { error: `the body is not JSON: ${(error as Error).message.slice(0, 200)}` };
  }
}

function formatIssues(issues: { path: PropertyKey[]; message: string }[]): string {
  return issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ');
}
