import { mkdir, open, readFile, rename } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { Disk } from './Disk.js';

/** A {@link Disk} that keeps its files in one folder of the local file system. */
export class FolderDisk implements Disk {
  private readonly handles = new Map<string, FileHandle>();

  private constructor(private readonly folder: string) {}

  /** Opens a folder, creating it if it does not exist. */
  static async open(folder: string): Promise<FolderDisk> {
    await mkdir(folder, { recursive: true });
    return new FolderDisk(folder);
  }

  async read(name: string): Promise<Buffer | undefined> {
    try {
      return await readFile(join(this.folder, name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
  }

  async append(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.getHandle(name);
    await handle.appendFile(bytes);
    await handle.datasync();
  }

  async truncate(name: string, length: number): Promise<void> {
    const handle = await this.getHandle(name);
    await handle.truncate(length);
    await handle.sync();
  }

  async replace(name: string, bytes: Uint8Array): Promise<void> {
    const temporary = join(this.folder, `${name}.new`);
    const handle = await open(temporary, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await this.closeHandle(name);
    await rename(temporary, join(this.folder, name));
    await this.syncFolder();
  }

  async close(): Promise<void> {
    for (const name of [...this.handles.keys()]) await this.closeHandle(name);
  }

  private async getHandle(name: string): Promise<FileHandle> {
    const cached = this.handles.get(name);
    if (cached) return cached;
    const handle = await open(join(this.folder, name), 'a');
    this.handles.set(name, handle);
    await this.syncFolder();
    return handle;
  }

  private async closeHandle(name: string): Promise<void> {
    const handle = this.handles.get(name);
    this.handles.delete(name);
    await handle?.close();
  }

  private async syncFolder(): Promise<void> {
    const handle = await open(this.folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
