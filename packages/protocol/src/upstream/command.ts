import { z } from 'zod';
import { loadedModelSchema } from './announcement.js';

const request = z.string().min(1);

const actionSchema = z.discriminatedUnion('kind', [
  /** Raises the fencing token of the engine to that of the command. */
  z.strictObject({ kind: z.literal('raise-fence') }),
  z.strictObject({ kind: z.literal('load'), model: loadedModelSchema }),
  z.strictObject({ kind: z.literal('unload'), model: z.string() }),
  z.strictObject({ kind: z.literal('set-role'), role: z.enum(['mixed', 'prefill', 'decode']) }),
  /** Cancels a request and frees its memory. */
  z.strictObject({ kind: z.literal('cancel'), request }),
  /** Exports the KV cache of a request, ends its stream with `paused` and frees its memory. */
  z.strictObject({ kind: z.literal('pause'), request }),
  /** Reserves memory for a prompt that spans several engines and is served by another one. */
  z.strictObject({ kind: z.literal('hold'), request, tokens: z.int().min(1) }),
]);

/** A command to an engine. */
export const commandSchema = z.strictObject({
  id: z.string().min(1),
  /** Fencing token of the shard owner. */
  fence: z.int().min(0),
  action: actionSchema,
});

/** A request that an engine has reserved memory for. */
const heldRequestSchema = z.strictObject({
  request,
  tokens: z.int().min(0),
  /** Fencing token under which the memory was reserved. */
  fence: z.int(),
  /** False if the memory is reserved for a prompt that another engine serves. */
  leads: z.boolean(),
});

/** Response of an engine to a state query. */
export const engineStateSchema = z.strictObject({
  incarnation: z.string(),
  /** Highest fencing token that the engine has seen. */
  fence: z.int(),
  leaving: z.boolean(),
  models: z.array(loadedModelSchema),
  held: z.array(heldRequestSchema),
  cache: z.strictObject({ sequence: z.int(), prefixes: z.array(z.string()) }),
});

export type Command = z.infer<typeof commandSchema>;
export type CommandAction = z.infer<typeof actionSchema>;
export type EngineState = z.infer<typeof engineStateSchema>;
