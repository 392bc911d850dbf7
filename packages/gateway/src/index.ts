/** Routes of an operator's configuration, served over HTTP by entry and control processes. */
export * from './configuration/index.js';
export * from './control/index.js';
export * from './entry/index.js';
export * from './settings/index.js';
export { getEndToEndHeaders } from './upstreams/index.js';
