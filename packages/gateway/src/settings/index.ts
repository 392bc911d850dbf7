/** Settings of the gateway's entry and control processes. */
export * from './GatewaySettings.js';
export * from './getSeedLinkAddresses.js';
export * from './SettingsError.js';
export * from './SettingsFile.js';
