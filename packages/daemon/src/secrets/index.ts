/** Secrets shared between processes, with upstreams and with operators. */
export * from './Secret.js';
