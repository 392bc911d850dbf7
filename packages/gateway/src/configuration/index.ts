/** The operators' configuration: schema, validation and lookups. */
export * from './checkConfiguration.js';
export * from './Configuration.js';
export * from './InvalidConfigurationError.js';
export * from './RoutingTable.js';
