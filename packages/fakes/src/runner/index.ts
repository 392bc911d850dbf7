/** A stand-in of the users' platform: its model runners. */
export * from './FakeRunner.js';
export * from './MemoryTickets.js';
