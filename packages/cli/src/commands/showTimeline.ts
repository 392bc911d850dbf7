import { writeFile } from 'node:fs/promises';
import { mergeEvents } from '@azurecart/telemetry';
import type { TimelineEvent } from '@azurecart/telemetry';
import { CommandFault } from '../CommandFault.js';
import { print } from '../output/print.js';
import type { PrintOptions } from '../output/print.js';
import { formatEvents } from '../timeline/formatEvents.js';
import { readEvents } from '../timeline/readEvents.js';
import { renderPage } from '../timeline/renderPage.js';

/** Which events are shown, and how. */
export interface TimelineOptions extends PrintOptions {
  secret?: string;
  request?: string;
  upstream?: string;
  release?: number;
  vm?: string;
  /** File for an HTML page. */
  html?: string;
}

/** Merges the time lines of files and running processes in causal order. */
export async function showTimeline(sources: string[], options: TimelineOptions): Promise<void> {
  if (sources.length === 0) throw new CommandFault('name at least one file or URL');
  const merged = mergeEvents(await readEvents(sources, options.secret));
  const events = merged.filter((event) => isWanted(event, options));
  if (options.html) {
    await writeFile(options.html, await renderPage(events));
    print({ file: options.html, events: events.length }, [`${options.html} written`], options);
    return;
  }
  print(events, formatEvents(events), options);
}

function isWanted(event: TimelineEvent, options: TimelineOptions): boolean {
  const { request, upstream, release, vm } = options;
  if (request !== undefined && !event.request?.startsWith(request)) return false;
  if (upstream !== undefined && event.upstream !== upstream) return false;
  if (release !== undefined && event.release !== Number(release)) return false;
  return vm === undefined || event.vm === vm;
}
