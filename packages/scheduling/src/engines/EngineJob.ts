/** A request whose prompt is to be placed on an engine. */
export interface EngineJob {
  id: string;
  service: string;
  /** Data centre of the caller; among equal engines, one in the same data centre is preferred. */
  dataCentre: string;
  promptTokens: number;
  /** Priority; 0 is the highest. */
  priority: number;
  /**
   * Objective for the time to the first event, in milliseconds from the arrival of the request,
   * which was `waitedMs` ago.
   */
  objectiveMs: number;
  /** Objective for the pause between two events, in milliseconds. */
  pauseMs: number;
  /** Maximum time in milliseconds, from now, for which the client waits. */
  remainingMs: number;
  /**
   * Time in milliseconds, from now, after which the client leaves unless an event has arrived;
   * undefined if it waits for the first event as long as for the whole answer.
   */
  patienceMs?: number;
  /** Milliseconds since the request arrived. */
  waitedMs: number;
  /** True if the client has received a part of the answer, which another engine is to finish. */
  isResumption?: boolean;
  /** Ids of engines on which the request has failed. */
  excluded: string[];
  /** Parts of the prompt that other prompts may contain as well. */
  parts: string[];
}

/** An engine that prefills a part of a prompt for another engine. */
export interface EngineHelper {
  engine: string;
  /** Tokens of the prompt that the engine holds in memory until the answer ends; 0 for none. */
  heldTokens: number;
}

/** The outcome of placing a job: an engine, a wait in the queue, or a refusal. */
export type EngineDecision =
  | {
      kind: 'placed';
      engine: string;
      helpers: EngineHelper[];
      /** Expected time to the first event, in milliseconds from now. */
      expectedMs: number;
    }
  | { kind: 'queued' }
  | { kind: 'refused'; retryAfterMs: number; reason: string };
