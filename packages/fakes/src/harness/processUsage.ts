import { readdir, readFile } from 'node:fs/promises';

const KB_PER_MB = 1024;

/**
 * Gets the highest resident memory of a process so far, in MB.
 * @throws Error if the process has ended.
 */
export async function getPeakResidentMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const match = /^VmHWM:\s+(\d+) kB/m.exec(status);
  if (!match) throw new Error(`process ${pid} has ended`);
  return Number(match[1]) / KB_PER_MB;
}

/** Gets the number of descriptors that a process has open. */
export async function countDescriptors(pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`)).length;
}
