/** Facts about upstreams that one process learns and all have to heed. */
export * from './Findings.js';
export * from './FindingsFile.js';
