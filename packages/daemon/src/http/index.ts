/** Helpers for Node's HTTP servers. */
export * from './AdminRoutes.js';
export * from './createIngress.js';
export * from './listen.js';
export * from './sendJson.js';
