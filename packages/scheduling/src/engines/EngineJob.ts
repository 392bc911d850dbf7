/** A prompt that is to be read and answered by an engine. */
export interface EngineJob {
  id: string;
  service: string;
  /** Data centre of the caller; a near engine is preferred among equal ones. */
  dataCentre: string;
  promptTokens: number;
  /** Rank, 0 first. */
  priority: number;
  /** Milliseconds to the first event, from the arrival of the request. */
  objectiveMs: number;
  /** Longest pause in milliseconds between two events. */
  pauseMs: number;
  /** Milliseconds for which the client waits at most, from now. */
  remainingMs: number;
  /** Milliseconds since the request arrived. */
  waitedMs: number;
  /** Engines that the request has failed on. */
  excluded: string[];
}

/** An engine that reads a part of a prompt for another one. */
export interface EngineHelp {
  engine: string;
  /** Tokens of the prompt that the engine keeps in memory until the answer ends; 0 for none. */
  heldTokens: number;
}

/** Where a job goes, or that it cannot be served. */
export type EngineDecision =
  | {
      kind: 'placed';
      engine: string;
      helpers: EngineHelp[];
      /** Milliseconds from now after which the first event is expected. */
      expectedMs: number;
    }
  | { kind: 'queued' }
  | { kind: 'refused'; retryAfterMs: number; reason: string };
