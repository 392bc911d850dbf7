import { createHash } from 'node:crypto';
import { z } from 'zod';

/** Bytes of text that count as one token when a length is estimated. */
export const BYTES_PER_TOKEN = 4;

/** Tokens of a block of the prefix cache. */
export const BLOCK_TOKENS = 512;

/** Most blocks whose hashes are computed. */
const BLOCK_LIMIT = 64;

const partSchema = z.object({ type: z.string(), text: z.string().optional() });

const messageSchema = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(partSchema)]).nullish(),
});

const tokens = z.int().min(1).nullish();

/** What a prompt's body must have; other fields go to the engine as they are. */
export const promptSchema = z
  .object({
    model: z.string(),
    messages: z.array(messageSchema).min(1).optional(),
    prompt: z.string().optional(),
    stream: z.boolean().nullish(),
    max_tokens: tokens,
    max_completion_tokens: tokens,
  })
  .refine((body) => body.messages !== undefined || body.prompt !== undefined, {
    error: 'messages or prompt is missing',
  });

/** A prompt's body. */
export type PromptBody = z.infer<typeof promptSchema>;

/** Gets the text of a prompt, as engines and the system count and hash it. */
export function getPromptText(body: PromptBody): string {
  if (body.prompt !== undefined) return body.prompt;
  const messages = body.messages ?? [];
  return messages.map(({ role, content }) => `${role}\n${getContent(content)}\n`).join('');
}

/** Gets the estimated length of a text in tokens. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}

/** Gets the hashes of a text's prefixes, one for each whole block, the shortest first. */
export function hashPrefixes(text: string): string[] {
  const blockBytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
  const bytes = Buffer.from(text.slice(0, BLOCK_LIMIT * blockBytes));
  const count = Math.min(Math.floor(bytes.length / blockBytes), BLOCK_LIMIT);
  const hash = createHash('sha256');
  return Array.from({ length: count }, (_, block) => {
    hash.update(bytes.subarray(block * blockBytes, (block + 1) * blockBytes));
    return hash.copy().digest('hex').slice(0, 16);
  });
}

function getContent(content: string | z.infer<typeof partSchema>[] | null | undefined): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
}
