import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { ServiceClient, UpstreamError } from '../../src/entry/upstreams/index.js';
import type { ServiceResponse } from '../../src/entry/upstreams/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n';

/** Gets the response of a service that writes raw bytes, or the error. */
async function receive(
  respond: (socket: Socket) => void,
): Promise<ServiceResponse | UpstreamError> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = new ServiceClient();
  try {
    return await client.send({
      address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: 'POST',
      path: '/book',
      headers: {},
      body: Buffer.from('x'),
      isIdempotent: false,
      signal: AbortSignal.timeout(5000),
    });
  } catch (error) {
    if (error instanceof UpstreamError) return error;
    throw error;
  } finally {
    client.close();
    server.close();
  }
}

test('an answer that is delimited by the end of its connection is whole', async () => {
  const result = await receive((socket) => socket.end(`${HEAD}\r\nfine`));
  assert.ok(!(result instanceof UpstreamError));
  assert.equal(result.body.toString(), 'fine');
});

// Guards against the beginning of an answer that is taken for the whole.
test('an answer without length that is reset is not whole', async () => {
  const result = await receive((socket) =>
    socket.write(`${HEAD}\r\nfi`, () => socket.resetAndDestroy()),
  );
  assert.ok(result instanceof UpstreamError);
  assert.equal(result.outcome, 'unknown');
});

// Guards against a 200 with an empty body from a service that ended inside its head.
test('an answer that ends inside its head is not whole', async () => {
  const head = `${HEAD}x: y\r\n\r\n`;
  for (let length = 0; length < head.length; length += 1) {
    const result = await receive((socket) => socket.end(head.slice(0, length)));
    assert.ok(result instanceof UpstreamError, `${length} bytes`);
    assert.equal(result.outcome, 'unknown');
  }
});
