import type { TimelineEvent } from '@azurecart/telemetry';

/** Formats each event as a line with its time of day in UTC, process, kind and other fields. */
export function formatEvents(events: TimelineEvent[]): string[] {
  return events.map((event) => {
    const time = new Date(getWallMs(event)).toISOString().slice(11, 23);
    const fields = [
      event.request,
      event.upstream,
      event.fence === undefined ? undefined : `fence ${event.fence}`,
      event.release === undefined ? undefined : `release ${event.release}`,
      event.detail,
    ];
    const rest = fields.filter((field) => field !== undefined).join('  ');
    return `${time}  ${event.process.padEnd(18)}  ${event.kind.padEnd(18)}  ${rest}`;
  });
}

/** Gets the wall clock part of the timestamp of an event, in milliseconds. */
export function getWallMs(event: TimelineEvent): number {
  return Number(event.at.split('.')[0]);
}
