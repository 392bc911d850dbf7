import { z } from 'zod';

/** One frame of an engine's streamed answer. */
export const frameSchema = z.object({
  /** Request that the frame belongs to. */
  id: z.string(),
  /** Number of answer tokens before this frame. */
  offset: z.int().min(0),
  text: z.string(),
  /** Answer tokens in this frame. */
  tokens: z.int().min(0),
  /** Set on the last frame. */
  finish: z.enum(['stop', 'length', 'paused']).nullish(),
});

export type Frame = z.infer<typeof frameSchema>;
