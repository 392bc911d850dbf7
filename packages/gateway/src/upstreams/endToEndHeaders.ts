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

/** Names of headers that describe the message and hold for every recipient of it. */
const MESSAGE_HEADER = /^(?:host|content-.*)$/;

/**
 * Converts the raw headers of a received message to name and value pairs without the hop-by-hop
 * headers, which include those that its `Connection` header names.
 * @param endToEndNames - Lower-case names of headers that a `Connection` header cannot remove.
 */
export function getEndToEndHeaders(
  rawHeaders: string[],
  endToEndNames: ReadonlySet<string>,
): [string, string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  const connectionOptions = pairs
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(',').map((option) => option.trim().toLowerCase()));
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower)) return false;
    const isEndToEnd = endToEndNames.has(lower) || MESSAGE_HEADER.test(lower);
    return isEndToEnd || !connectionOptions.includes(lower);
  });
}
