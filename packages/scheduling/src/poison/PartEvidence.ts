/**
 * Evidence about a part of prompts, as processes exchange it. It contains ages instead of times,
 * because the monotonic clocks of processes differ.
 */
export interface PartEvidence {
  part: string;
  /** Engines that ended while a prompt with the part had no event yet. */
  crashes: PartCrash[];
  /** Milliseconds since a prompt with the part had its first event; undefined if none is known. */
  answeredAgeMs?: number;
}

/** The end of an engine. */
export interface PartCrash {
  /** Identifies one lifetime of the engine, so that several reports of its end count once. */
  engine: string;
  ageMs: number;
  /** Milliseconds since the latest of the prompts with the part was sent to it. */
  sentAgeMs: number;
}

/** What the evidence says about a prompt. */
export type PartVerdict =
  | { kind: 'sound' }
  /** The prompt may run only apart from others, and only if none with one of these parts does. */
  | { kind: 'suspect'; parts: string[] }
  /** The prompt must not run; another one with the part may be tried after the given time. */
  | { kind: 'quarantined'; part: string; retryAfterMs: number };
