import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { ResponseCompletion, UpstreamCall } from '../../src/upstreams/index.js';

/** Sends a request to a server whose connections run `script`, and returns the response. */
async function callScripted(script: (socket: Socket) => void): Promise<{
  text: string;
  isComplete: boolean;
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
    const completion = new ResponseCompletion(response);
    let text = '';
    try {
      for await (const chunk of response as AsyncIterable<Buffer>) text += chunk.toString();
    } catch {
      return { text, isComplete: false };
    }
    return { text, isComplete: await completion.isComplete() };
  } finally {
    call.abort();
    server.close();
  }
}

const CLOSE_DELIMITED_HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

test('a close-delimited response whose connection ends without a reset is complete', async () => {
  const response = await callScripted((socket) => socket.end(`${CLOSE_DELIMITED_HEAD}body`));
  assert.deepEqual(response, { text: 'body', isComplete: true });
});

test('a close-delimited response whose connection is reset right after data is incomplete', async () => {
  const response = await callScripted((socket) => {
    socket.write(`${CLOSE_DELIMITED_HEAD}bo`, () => socket.resetAndDestroy());
  });
  assert.equal(response.isComplete, false);
});

test('a response shorter than its Content-Length is incomplete', async () => {
  const response = await callScripted((socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody'),
  );
  assert.equal(response.isComplete, false);
});
