/** Prompt parts that end the engines which answer them. */
export * from './PartEvidence.js';
export * from './PoisonTable.js';
