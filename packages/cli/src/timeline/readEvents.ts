import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import { Secret } from '@azurecart/daemon';
import type { TimelineEvent } from '@azurecart/telemetry';
import { CommandFault } from '../CommandFault.js';

const eventSchema = z.object({
  at: z.string(),
  process: z.string(),
  vm: z.string(),
  kind: z.string(),
  request: z.string().optional(),
  upstream: z.string().optional(),
  fence: z.number().optional(),
  release: z.number().optional(),
  detail: z.string().optional(),
});

const FETCH_TIMEOUT_MS = 5000;

/** Reads the events of files and of running processes; a source is a file or a URL. */
export async function readEvents(
  sources: string[],
  secretFile?: string,
): Promise<TimelineEvent[][]> {
  return Promise.all(sources.map(async (source) => parse(await load(source, secretFile), source)));
}

async function load(source: string, secretFile: string | undefined): Promise<string> {
  if (!/^https?:/.test(source)) return readFile(source, 'utf8');
  const file = secretFile ?? process.env.AZURECART_SECRET_FILE;
  if (!file) throw new CommandFault('--secret or AZURECART_SECRET_FILE is needed for a URL');
  const { authorization } = await Secret.load(file);
  const response = await fetch(new URL('/timeline', source), {
    headers: { authorization },
    signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
  });
  if (!response.ok) throw new CommandFault(`${source}: status ${response.status}`);
  return response.text();
}

/** The last line of a file may be cut short by a process that died; other lines may not. */
function parse(text: string, source: string): TimelineEvent[] {
  const lines = text.split('\n').filter((line) => line !== '');
  return lines.flatMap((line, index) => {
    try {
      return [eventSchema.parse(JSON.parse(line))];
    } catch {
      if (index === lines.length - 1) return [];
      throw new CommandFault(`${source}: line ${index + 1} is not an event`);
    }
  });
}
