import { z } from 'zod';
import type { TimelineEvent } from '@azurecart/telemetry';

/** A line that a process of the gateway logs. */
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

/** Fields that every line has, or that an event has a place of its own for. */
const KNOWN = ['name', 'vm', 'hostname', 'pid', 'level', 'time', 'v', 'msg'].concat([
  'request',
  'upstream',
  'version',
]);
const WALL_DIGITS = 15;
const COUNTER_DIGITS = 6;

/**
 * Decodes a line of a gateway's log; undefined when it is none.
 * @param index - Position of the line in its file, which keeps the order within a millisecond.
 */
export function decodeLogLine(line: unknown, index: number): TimelineEvent | undefined {
  const parsed = logLineSchema.safeParse(line);
  if (!parsed.success) return undefined;
  const { name, vm, time, msg, request, upstream, version, ...rest } = parsed.data;
  const wall = String(Date.parse(time)).padStart(WALL_DIGITS, '0');
  const counter = String(index).padStart(COUNTER_DIGITS, '0').slice(-COUNTER_DIGITS);
  const detail = Object.entries(rest)
    .filter(([field]) => !KNOWN.includes(field))
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
