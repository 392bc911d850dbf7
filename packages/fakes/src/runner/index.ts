/** Fake model runners of the users' platform. */
export * from './FakeRunner.js';
export * from './MemoryReservations.js';
