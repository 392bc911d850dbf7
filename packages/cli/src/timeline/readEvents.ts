import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import { Secret } from '@azurecart/daemon';
import type { TimelineEvent } from '@azurecart/telemetry';
import { CommandError } from '../CommandError.js';
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

/**
 * Reads the events of files and running processes.
 * @param sources - Paths of files, or URLs of processes.
 */
export async function readEvents(
  sources: string[],
  secretFile?: string,
): Promise<TimelineEvent[][]> {
  return Promise.all(
    sources.map(async (source) => parseEvents(await readSource(source, secretFile), source)),
  );
}

async function readSource(source: string, secretFile: string | undefined): Promise<string> {
  if (!/^https?:/.test(source)) return readFile(source, 'utf8');
  const file = secretFile ?? process.env.AZURECART_SECRET_FILE;
  if (!file) throw new CommandError('--secret or AZURECART_SECRET_FILE is required for a URL');
  const { authorization } = await Secret.load(file);
  const response = await fetch(new URL('/timeline', source), {
    headers: { authorization },
    signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
  });
  if (!response.ok)
    throw new CommandError(`GET /timeline of ${source} returned status ${response.status}`);
  return response.text();
}

/**
 * Parses the lines of a source. The first of these rules that applies to a line decides:
 * - A log line or an event is returned.
 * - After the first log line, a line that is not valid JSON is skipped with a message: a crash may
 *   truncate a line, and the restarted process appends to the log file.
 * - The last line is skipped.
 * - Any other line is an error.
 */
function parseEvents(text: string, source: string): TimelineEvent[] {
  const lines = text.split('\n').filter((line) => line !== '');
  let hasLogLines = false;
  return lines.flatMap((line, index) => {
    const value = parseJson(line);
    const logEvent = decodeLogLine(value, index);
    hasLogLines ||= logEvent !== undefined;
    if (logEvent) return [logEvent];
    const event = eventSchema.safeParse(value);
    if (event.success) return [event.data];
    const isTruncated = value === undefined && hasLogLines;
    if (isTruncated)
      process.stderr.write(`${source}: line ${index + 1} is not valid JSON; skipped\n`);
    if (isTruncated || index === lines.length - 1) return [];
    throw new CommandError(
      `${source}: line ${index + 1} is neither a timeline event nor a log line`,
    );
  });
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
}
