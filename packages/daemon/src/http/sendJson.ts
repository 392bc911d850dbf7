import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

/** Sends a complete JSON response, unless headers were sent or the response was destroyed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
    ...headers,
  });
  response.end(bytes);
}
