import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import { Secret } from '@azurecart/daemon';
import type { TimelineEvent } from '@azurecart/telemetry';
import { CommandFault } from '../CommandFault.js';
import { decodeLogLine } from './decodeLogLine.js';

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

/**
 * Parses lines. The last one may be cut short by a process that died; in logs, which go on when the
 * process is started again, others too.
 */
function parse(text: string, source: string): TimelineEvent[] {
  const lines = text.split('\n').filter((line) => line !== '');
  let hasLogLines = false;
  return lines.flatMap((line, index) => {
    const value = parseJson(line);
    const logged = decodeLogLine(value, index);
    hasLogLines ||= logged !== undefined;
    if (logged) return [logged];
    const event = eventSchema.safeParse(value);
    if (event.success) return [event.data];
    const isCut = value === undefined && hasLogLines;
    if (isCut) process.stderr.write(`${source}: line ${index + 1} is cut and left out\n`);
    if (isCut || index === lines.length - 1) return [];
    throw new CommandFault(`${source}: line ${index + 1} is not an event`);
  });
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
}
