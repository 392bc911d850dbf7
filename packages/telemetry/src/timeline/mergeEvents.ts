import type { TimelineEvent } from './TimelineEvent.js';

/**
 * Merges the events of several processes in causal order and removes duplicates: events of the same
 * time, process and kind.
 */
export function mergeEvents(sources: TimelineEvent[][]): TimelineEvent[] {
  const byKey = new Map<string, TimelineEvent>();
  for (const event of sources.flat())
    byKey.set(`${event.at} ${event.process} ${event.kind}`, event);
  return [...byKey.values()].sort(compareEvents);
}

function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  if (a.at !== b.at) return a.at < b.at ? -1 : 1;
  return a.process < b.process ? -1 : 1;
}
