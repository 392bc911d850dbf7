/** Messages, headers and paths of the protocol between upstreams and entry processes. */
export * from './announcement.js';
export * from './command.js';
export * from './frame.js';
export * from './headers.js';
export * from './promptText.js';
