/** Where a prompt goes, by the pattern of its reading. */
export * from './Choice.js';
export * from './chooseForHeavy.js';
export * from './chooseForLight.js';
export * from './chooseJoint.js';
