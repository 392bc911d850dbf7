/** Limits on the connections and requests of clients that are not under the control of the server. */
export * from './Connection.js';
export * from './ConnectionTable.js';
export * from './Ingress.js';
export * from './IngressStatistics.js';
