/** Stated bounds of the platform that the checks of a soak use. */
export const BOUNDS = {
  /** Time without disturbance after which a machine is in touch. */
  contactMs: 3000,
  /** Delay from which a machine counts as slowed down. */
  slowedMs: 500,
  drainMs: 2000,
  lossSlackMs: 200,
  configurationApplyMs: 2000,
  rollbackSlackMs: 250,
  acknowledgementMs: 4000,
  /** Time after which an evacuated data centre gets no more requests. */
  evacuateMs: 5000,
  recoveryMs: 12_000,
  /** Prompts with a part that has ended five runners that may still be sent. */
  poisonedRequests: 3,
  /** Excess over the limit of a runner in a window of 4 s: a factor, and requests beyond it. */
  limitFactor: 1.5,
  limitExtra: 5,
  /** Excess over what a cold runner bears in a second: a factor, and requests beyond it. */
  coldFactor: 1.5,
  coldExtra: 5,
  /** Requests to a runner in a pause that it asked for, from this many milliseconds after it did. */
  pauseRequests: 2,
  pauseSlackMs: 500,
  retryRatio: 0.2,
  retryWindowSeconds: 10,
  retryExtra: 100,
  /** Slack for deadlines that are passed on, and for requests that outlive their client or timeout. */
  deadlineSlackMs: 500,
} as const;
