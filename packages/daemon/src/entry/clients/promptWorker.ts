import { move, transferableSymbol, valueSymbol } from 'piscina';
import { inspectPrompt } from './inspectPrompt.js';
import type { Inspection } from './inspectPrompt.js';

/** What the worker gives back: the inspection, and the body it was lent. */
export interface WorkerAnswer {
  inspection: Inspection;
  bytes: Uint8Array;
}

/** Inspects a prompt on a thread of its own. The body moves here and back without a copy. */
export default function inspect(bytes: Uint8Array): WorkerAnswer {
  const answer: WorkerAnswer = { inspection: inspectPrompt(bytes), bytes };
  const transferable = { [transferableSymbol]: bytes.buffer, [valueSymbol]: answer };
  return move(transferable) as unknown as WorkerAnswer;
}
