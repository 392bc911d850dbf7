import { randomUUID } from 'node:crypto';
import type { Disk } from './Disk.js';

const IDENTITY_FILE = 'identity';

/** Gets the replica identifier stored on the disk, creating one if the disk has none. */
export async function getOrCreateIdentity(disk: Disk): Promise<string> {
  const stored = await disk.read(IDENTITY_FILE);
  if (stored && stored.length > 0) return stored.toString();
  const id = randomUUID();
  await disk.replace(IDENTITY_FILE, Buffer.from(id));
  return id;
}
