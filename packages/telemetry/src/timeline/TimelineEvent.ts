import type { HybridTime } from '../clock/index.js';

/** Optional fields of an event. */
export interface EventFields {
  request?: string;
  upstream?: string;
  /** Fencing token in effect when the event occurred. */
  fence?: number;
  release?: number;
  /** Human-readable description. */
  detail?: string;
}

/** An event of a process. */
export interface TimelineEvent extends EventFields {
  at: HybridTime;
  process: string;
  vm: string;
  kind: string;
}
