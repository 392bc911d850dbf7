/**
 * Starts the gateway's program. SIGHUP only reports changed settings and must not end a process that
 * still starts, so the modules of the program are loaded once there is a handler.
 */
process.on('SIGHUP', () => undefined);
await import('./program.js');
