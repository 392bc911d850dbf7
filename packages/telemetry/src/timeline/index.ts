/** Timelines of events, merged across processes. */
export * from './mergeEvents.js';
export * from './Timeline.js';
export * from './TimelineEvent.js';
