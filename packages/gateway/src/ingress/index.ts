/** Limits on the clients of the servers of a process. */
export * from './addIngressMetrics.js';
export * from './createIngress.js';
