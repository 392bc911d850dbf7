/** Choice of engines for a prompt, by the length of its prefill. */
export * from './EngineChoice.js';
export * from './chooseForLongPrompt.js';
export * from './chooseForShortPrompt.js';
export * from './chooseMultipleEngines.js';
export * from './choosePrefillEngines.js';
