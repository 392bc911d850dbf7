import { z } from 'zod';
import { loadedModelSchema } from './announcement.js';

const request = z.string().min(1);

const actionSchema = z.discriminatedUnion('kind', [
  /** Makes the engine remember the fencing number. */
  z.strictObject({ kind: z.literal('raise-fence') }),
  z.strictObject({ kind: z.literal('load'), model: loadedModelSchema }),
  z.strictObject({ kind: z.literal('unload'), model: z.string() }),
  z.strictObject({ kind: z.literal('set-role'), role: z.enum(['mixed', 'prefill', 'decode']) }),
  /** Stops a request and frees its memory. */
  z.strictObject({ kind: z.literal('cancel'), request }),
  /** Exports a request's KV cache, ends its stream with a pause mark and frees its memory. */
  z.strictObject({ kind: z.literal('pause'), request }),
  /** Holds memory for a prompt that another engine leads. */
  z.strictObject({ kind: z.literal('hold'), request, tokens: z.int().min(1) }),
]);

/** A command to an engine. */
export const commandSchema = z.strictObject({
  id: z.string().min(1),
  /** Fencing number of the shard's owner. */
  fence: z.int().min(0),
  action: actionSchema,
});

/** A request for which an engine holds memory. */
const heldRequestSchema = z.strictObject({
  request,
  tokens: z.int().min(0),
  fence: z.int(),
  /** False when the memory is held for a prompt that another engine leads. */
  leads: z.boolean(),
});

/** What an engine says about itself when it is asked. */
export const engineStateSchema = z.strictObject({
  incarnation: z.string(),
  fence: z.int(),
  leaving: z.boolean(),
  models: z.array(loadedModelSchema),
  held: z.array(heldRequestSchema),
  cache: z.strictObject({ sequence: z.int(), prefixes: z.array(z.string()) }),
});

export type Command = z.infer<typeof commandSchema>;
export type CommandAction = z.infer<typeof actionSchema>;
export type EngineState = z.infer<typeof engineStateSchema>;
