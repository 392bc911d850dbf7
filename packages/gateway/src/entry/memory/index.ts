/** Memory of engines for prompts that no single one can hold. */
export * from './JointMemory.js';
export * from './LivenessWatch.js';
export * from './MemoryHold.js';
export * from './OrderClient.js';
