import { z } from 'zod';

/** A frame of the response stream of an engine. */
export const frameSchema = z.object({
  /** Identifier of the request. */
  id: z.string(),
  /** Number of output tokens before this frame. */
  offset: z.int().min(0),
  text: z.string(),
  /** Number of output tokens in this frame. */
  tokens: z.int().min(0),
  /** Reason why the stream ended; only set on the last frame. */
  finish: z.enum(['stop', 'length', 'paused']).nullish(),
});

export type Frame = z.infer<typeof frameSchema>;
