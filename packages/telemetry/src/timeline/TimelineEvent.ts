import type { HybridTime } from '../clock/index.js';

/** What an event may refer to. */
export interface EventFields {
  request?: string;
  upstream?: string;
  /** Fencing number under which the event happened. */
  fence?: number;
  release?: number;
  /** Free text or figures for a reader. */
  detail?: string;
}

/** One event of one process. */
export interface TimelineEvent extends EventFields {
  at: HybridTime;
  process: string;
  vm: string;
  kind: string;
}
