/** Durable state: the storage port, its file adapter and the disk below it. */
export * from './Disk.js';
export * from './FileStorage.js';
export * from './FolderDisk.js';
export * from './identity.js';
export * from './Storage.js';
