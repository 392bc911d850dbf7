import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { CompletionWatch, UpstreamCall } from '../../src/upstreams/index.js';

/** Answers every request by a script and gets what the caller makes of it. */
async function callScripted(script: (socket: Socket) => void): Promise<{
  text: string;
  isWhole: boolean;
}> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => script(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const call = new UpstreamCall({
    address: `127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    headers: [['Host', 'a']],
    body: Buffer.alloc(0),
    connectTimeoutMs: 1000,
  });
  try {
    const response = await call.send();
    const watch = new CompletionWatch(response);
    let text = '';
    try {
      for await (const chunk of response as AsyncIterable<Buffer>) text += chunk.toString();
    } catch {
      return { text, isWhole: false };
    }
    return { text, isWhole: await watch.isWhole() };
  } finally {
    call.abort();
    server.close();
  }
}

const LENGTHLESS_HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

test('an answer without a length that ends in order is whole', async () => {
  const answer = await callScripted((socket) => socket.end(`${LENGTHLESS_HEAD}body`));
  assert.deepEqual(answer, { text: 'body', isWhole: true });
});

test('an answer without a length that is reset together with its data is not whole', async () => {
  const answer = await callScripted((socket) => {
    socket.write(`${LENGTHLESS_HEAD}bo`, () => socket.resetAndDestroy());
  });
  assert.equal(answer.isWhole, false);
});

test('an answer shorter than its length is not whole', async () => {
  const answer = await callScripted((socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody'),
  );
  assert.equal(answer.isWhole, false);
});
