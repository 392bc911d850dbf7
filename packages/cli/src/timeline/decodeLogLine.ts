import { z } from 'zod';
import type { TimelineEvent } from '@azurecart/telemetry';

/** Schema of a log line of a gateway process. */
const logLineSchema = z
  .object({
    name: z.string(),
    vm: z.string(),
    time: z.string().datetime(),
    msg: z.string(),
    request: z.string().optional(),
    upstream: z.string().optional(),
    version: z.number().optional(),
  })
  .passthrough();

/** Fields omitted from the detail: those that every line has or that an event has fields for. */
const MAPPED_FIELDS = ['name', 'vm', 'hostname', 'pid', 'level', 'time', 'v', 'msg'].concat([
  'request',
  'upstream',
  'version',
]);
const TIMESTAMP_DIGITS = 15;
const COUNTER_DIGITS = 6;

/**
 * Converts a log line of a gateway process to an event; undefined if the value is not a log line.
 * The version of the gateway's configuration takes the place of the release number, so that the
 * release filter applies to it.
 * @param index - Index of the line in its file; preserves the order within a millisecond. Only
 * its last six digits are used, so the order is lost where they wrap around.
 */
export function decodeLogLine(line: unknown, index: number): TimelineEvent | undefined {
  const parsed = logLineSchema.safeParse(line);
  if (!parsed.success) return undefined;
  const { name, vm, time, msg, request, upstream, version, ...rest } = parsed.data;
  const wall = String(Date.parse(time)).padStart(TIMESTAMP_DIGITS, '0');
  const counter = String(index).padStart(COUNTER_DIGITS, '0').slice(-COUNTER_DIGITS);
  const detail = Object.entries(rest)
    .filter(([field]) => !MAPPED_FIELDS.includes(field))
    .map(
      ([field, value]) => `${field} ${typeof value === 'object' ? JSON.stringify(value) : value}`,
    )
    .join(', ');
  return {
    at: `${wall}.${counter}`,
    process: `${name}@${vm}`,
    vm,
    kind: msg,
    request,
    upstream,
    release: version,
    detail: detail === '' ? undefined : detail,
  };
}
