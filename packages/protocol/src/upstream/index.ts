/** The protocol between upstreams and the system. */
export * from './announcement.js';
export * from './command.js';
export * from './frame.js';
export * from './headers.js';
export * from './promptText.js';
