import { readFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import type { TimelineEvent } from '@azurecart/telemetry';
import { getWallMs } from './formatEvents.js';

const SCRIPT_PATH = 'vis-timeline/standalone/umd/vis-timeline-graph2d.min.js';
const STYLE_PATH = 'vis-timeline/styles/vis-timeline-graph2d.min.css';

/** Renders events as a self-contained HTML page. */
export async function renderTimelinePage(events: TimelineEvent[]): Promise<string> {
  const require = createRequire(import.meta.url);
  const script = await readFile(require.resolve(SCRIPT_PATH), 'utf8');
  const style = await readFile(require.resolve(STYLE_PATH), 'utf8');
  const data = JSON.stringify({ groups: getGroups(events), items: getItems(events) });
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>azurecart timeline</title><style>${style}
body { font-family: sans-serif; margin: 1rem; }</style></head>
<body><h1>azurecart timeline</h1><p>${events.length} events</p><div id="timeline"></div>
<script>${script}</script>
<script>
const data = ${data.replaceAll('<', '\\u003c')};
new vis.Timeline(document.getElementById('timeline'), data.items, data.groups,
  { stack: true, maxHeight: '85vh', tooltip: { followMouse: true } });
</script></body></html>
`;
}

function getGroups(events: TimelineEvent[]): { id: string; content: string }[] {
  const names = [...new Set(events.map((event) => event.process))].sort();
  return names.map((name) => ({ id: name, content: escapeHtml(name) }));
}

function getItems(events: TimelineEvent[]): Record<string, unknown>[] {
  return events.map((event, index) => ({
    id: index,
    group: event.process,
    start: getWallMs(event),
    type: 'box',
    content: escapeHtml(event.kind),
    title: escapeHtml(
      [event.request, event.upstream, event.detail].filter((field) => field).join(' | '),
    ),
  }));
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
