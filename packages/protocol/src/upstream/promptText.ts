import { createHash } from 'node:crypto';
import { z } from 'zod';

/** Number of UTF-8 bytes per token, used to estimate the length of a text. */
export const BYTES_PER_TOKEN = 4;

/** Number of tokens in a block of the prefix cache. */
export const BLOCK_TOKENS = 512;

/**
 * Number of hexadecimal digits kept of a hash, 64 bits. A collision only makes an estimate of the
 * cached tokens wrong.
 */
const HASH_DIGITS = 16;

/** Maximum number of blocks of a prompt that are hashed, equal to 32,768 tokens. */
const MAX_HASHED_BLOCKS = 64;

const partSchema = z.object({ type: z.string(), text: z.string().optional() });

const messageSchema = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(partSchema)]).nullish(),
});

const maxTokensSchema = z.int().min(1).nullish();

/** Schema of the fields of a completion request that are read; others are passed on unchanged. */
export const promptSchema = z
  .object({
    model: z.string(),
    messages: z.array(messageSchema).min(1).optional(),
    prompt: z.string().optional(),
    stream: z.boolean().nullish(),
    max_tokens: maxTokensSchema,
    max_completion_tokens: maxTokensSchema,
  })
  .refine((body) => body.messages !== undefined || body.prompt !== undefined, {
    error: 'messages or prompt is missing',
  });

/** Body of a completion request. */
export type PromptBody = z.infer<typeof promptSchema>;

/** Gets the text of a prompt that both engines and entry processes use for lengths and hashes. */
export function getPromptText(body: PromptBody): string {
  if (body.prompt !== undefined) return body.prompt;
  const messages = body.messages ?? [];
  return messages.map(({ role, content }) => `${role}\n${getContentText(content)}\n`).join('');
}

/** Estimates the length of a text in tokens. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}

/**
 * Gets a hash of each prefix of a text that ends at a block boundary, shortest prefix first; at most
 * `MAX_HASHED_BLOCKS` hashes.
 */
export function hashPrefixes(text: string): string[] {
  const blockBytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
  const bytes = Buffer.from(text.slice(0, MAX_HASHED_BLOCKS * blockBytes));
  const count = Math.min(Math.floor(bytes.length / blockBytes), MAX_HASHED_BLOCKS);
  const hash = createHash('sha256');
  return Array.from({ length: count }, (_, block) => {
    hash.update(bytes.subarray(block * blockBytes, (block + 1) * blockBytes));
    return hash.copy().digest('hex').slice(0, HASH_DIGITS);
  });
}

function getContentText(content: string | z.infer<typeof partSchema>[] | null | undefined): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
}
