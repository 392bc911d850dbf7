/** Work items, the unit of scheduling. */
export * from './WorkItem.js';
