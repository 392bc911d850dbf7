import { Piscina } from 'piscina';
import { createBadRequest } from './apiErrors.js';
import { inspectPrompt } from './inspectPrompt.js';
import type { InspectionResult, PromptSummary } from './inspectPrompt.js';
import type { PromptWorkerResult } from './promptWorker.js';

export interface PromptInspectorOptions {
  /** Longest body that is parsed on the event loop, in bytes. */
  inlineBytes: number;
  threads?: number;
}

/** The body of a prompt and its summary. */
export interface InspectedPrompt {
  body: Buffer;
  summary: PromptSummary;
}

const DEFAULT_THREADS = 2;

/** Parses prompts, long ones on worker threads, so that no prompt blocks the event loop. */
export class PromptInspector {
  private readonly pool: Piscina<Uint8Array, PromptWorkerResult>;

  constructor(private readonly options: PromptInspectorOptions) {
    this.pool = new Piscina({
      filename: new URL('./promptWorker.js', import.meta.url).href,
      minThreads: 1,
      maxThreads: options.threads ?? DEFAULT_THREADS,
    });
  }

  /**
   * Parses a body. A long body is transferred to a worker, so the given buffer must own its
   * `ArrayBuffer` (`allocUnsafeSlow`), or the shared pool would be transferred, and must not be
   * used afterwards; the returned one replaces it.
   * @throws ApiError when the body is invalid.
   */
  async inspect(body: Buffer): Promise<InspectedPrompt> {
    if (body.length <= this.options.inlineBytes) {
      return { body, summary: getSummaryOrThrow(inspectPrompt(body)) };
    }
    const bytes = new Uint8Array(body.buffer, body.byteOffset, body.length);
    const result = await this.pool.run(bytes, { transferList: [bytes.buffer as ArrayBuffer] });
    const summary = getSummaryOrThrow(result.inspection);
    const { buffer, byteOffset, length } = result.bytes;
    return { body: Buffer.from(buffer, byteOffset, length), summary };
  }

  /** Stops the worker threads. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

function getSummaryOrThrow(inspection: InspectionResult): PromptSummary {
  if ('summary' in inspection) return inspection.summary;
  throw createBadRequest(inspection.error, 'invalid_body');
}
