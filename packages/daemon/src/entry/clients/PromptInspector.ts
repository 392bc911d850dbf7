import { Piscina } from 'piscina';
import { createBadRequest } from './apiFaults.js';
import { inspectPrompt } from './inspectPrompt.js';
import type { Inspection, PromptSummary } from './inspectPrompt.js';
import type { WorkerAnswer } from './promptWorker.js';

/** What an inspector is made of. */
export interface PromptInspectorOptions {
  /** Longest body that is parsed on the event loop. */
  inlineBytes: number;
  threads?: number;
}

/** A prompt's body with what was found in it. */
export interface InspectedPrompt {
  body: Buffer;
  summary: PromptSummary;
}

const THREADS = 2;

/** Parses prompts; long ones on threads, so that no prompt holds up the event loop. */
export class PromptInspector {
  private readonly pool: Piscina<Uint8Array, WorkerAnswer>;

  constructor(private readonly options: PromptInspectorOptions) {
    this.pool = new Piscina({
      filename: new URL('./promptWorker.js', import.meta.url).href,
      minThreads: 1,
      maxThreads: options.threads ?? THREADS,
    });
  }

  /**
   * Parses a body. The given buffer must not be used any more; the one returned replaces it.
   * @throws ApiFault telling what is wrong with the body.
   */
  async inspect(body: Buffer): Promise<InspectedPrompt> {
    if (body.length <= this.options.inlineBytes) {
      return { body, summary: getSummaryOrThrow(inspectPrompt(body)) };
    }
    const bytes = new Uint8Array(body.buffer, body.byteOffset, body.length);
    const answer = await this.pool.run(bytes, { transferList: [bytes.buffer as ArrayBuffer] });
    const summary = getSummaryOrThrow(answer.inspection);
    const { buffer, byteOffset, length } = answer.bytes;
    return { body: Buffer.from(buffer, byteOffset, length), summary };
  }

  /** Ends the threads. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

function getSummaryOrThrow(inspection: Inspection): PromptSummary {
  if ('summary' in inspection) return inspection.summary;
  throw createBadRequest(inspection.fault, 'invalid_body');
}
