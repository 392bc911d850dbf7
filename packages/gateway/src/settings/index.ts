/** Settings of the gateway's processes. */
export * from './GatewaySettings.js';
export * from './getSeedLinks.js';
export * from './SettingsFile.js';
export * from './SettingsFault.js';
