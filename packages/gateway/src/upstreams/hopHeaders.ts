const HOP_HEADERS = new Set([
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

/** Gets the name and value pairs that concern more than one connection. */
export function getEndToEndHeaders(rawHeaders: string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  const named = pairs
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(',').map((each) => each.trim().toLowerCase()));
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_HEADERS.has(lower) && !named.includes(lower);
  });
}
