/** Durable storage: the `Storage` interface, its file-based implementation and disk access. */
export * from './Disk.js';
export * from './FileStorage.js';
export * from './FolderDisk.js';
export * from './identity.js';
export * from './Storage.js';
