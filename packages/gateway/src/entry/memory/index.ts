/** Reservation of memory on several engines for prompts that exceed the memory of a single one. */
export * from './MemoryReservationGroup.js';
export * from './LivenessMonitor.js';
export * from './MemoryReservation.js';
export * from './EngineCommandClient.js';
