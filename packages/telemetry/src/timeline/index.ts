/** The time line of events over all processes. */
export * from './mergeEvents.js';
export * from './Timeline.js';
export * from './TimelineEvent.js';
