/** Settings of the processes. */
export * from './loadSettings.js';
export * from './settingsSchema.js';
