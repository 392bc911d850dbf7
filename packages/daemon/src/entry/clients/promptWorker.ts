import { move, transferableSymbol, valueSymbol } from 'piscina';
import { inspectPrompt } from './inspectPrompt.js';
import type { InspectionResult } from './inspectPrompt.js';

/** Result of the worker, which also transfers the body back. */
export interface PromptWorkerResult {
  inspection: InspectionResult;
  bytes: Uint8Array;
}

/** Inspects a prompt on a worker thread. The body is transferred in both directions, not copied. */
export default function inspect(bytes: Uint8Array): PromptWorkerResult {
  const result: PromptWorkerResult = { inspection: inspectPrompt(bytes), bytes };
  const transferable = { [transferableSymbol]: bytes.buffer, [valueSymbol]: result };
  return move(transferable) as unknown as PromptWorkerResult;
}
