import { writeFile } from 'node:fs/promises';
import { mergeEvents } from '@azurecart/telemetry';
import type { TimelineEvent } from '@azurecart/telemetry';
import { CommandError } from '../CommandError.js';
import { printResult } from '../output/printResult.js';
import type { PrintOptions } from '../output/printResult.js';
import { formatEvents } from '../timeline/formatEvents.js';
import { readEvents } from '../timeline/readEvents.js';
import { renderTimelinePage } from '../timeline/renderTimelinePage.js';

/** Event filters and output of showTimeline. */
export interface ShowTimelineOptions extends PrintOptions {
  secret?: string;
  /** Id of a request, or a prefix of it. */
  request?: string;
  upstream?: string;
  release?: number;
  vm?: string;
  /** File to write an HTML page to, instead of printing the events. */
  html?: string;
}

/**
 * Merges the timelines of files and running processes in causal order. Log lines have no logical
 * clock and are ordered by wall clock, then by line number.
 */
export async function showTimeline(sources: string[], options: ShowTimelineOptions): Promise<void> {
  if (sources.length === 0) throw new CommandError('at least one file or URL is required');
  const merged = mergeEvents(await readEvents(sources, options.secret));
  const events = merged.filter((event) => matchesFilters(event, options));
  if (options.html) {
    await writeFile(options.html, await renderTimelinePage(events));
    printResult(
      { file: options.html, events: events.length },
      [`${options.html} written`],
      options,
    );
    return;
  }
  printResult(events, formatEvents(events), options);
}

function matchesFilters(event: TimelineEvent, options: ShowTimelineOptions): boolean {
  const { request, upstream, release, vm } = options;
  if (request !== undefined && !event.request?.startsWith(request)) return false;
  if (upstream !== undefined && event.upstream !== upstream) return false;
  if (release !== undefined && event.release !== Number(release)) return false;
  return vm === undefined || event.vm === vm;
}
