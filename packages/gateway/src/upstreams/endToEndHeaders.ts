const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Converts raw headers to name and value pairs without the hop-by-hop headers, which include those
 * that the `Connection` header names.
 */
export function getEndToEndHeaders(rawHeaders: string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  const connectionOptions = pairs
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(',').map((option) => option.trim().toLowerCase()));
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(lower) && !connectionOptions.includes(lower);
  });
}
