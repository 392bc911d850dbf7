import assert from 'node:assert/strict';
import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import {
  encodeFrame,
  encodeNotification,
  FrameKind,
  FrameReader,
  Link,
  OutboundLink,
} from '../../src/links/index.js';
import type { CallHandler } from '../../src/links/index.js';

test('frames are decoded however the byte stream is split into chunks', () => {
  const bodyLists = fc.array(fc.string(), { minLength: 1, maxLength: 5 });
  fc.assert(
    fc.property(bodyLists, fc.array(fc.nat(200)), (bodies, chunkLengths) => {
      const frames = bodies.map((body) => encodeFrame([FrameKind.Notification, 0, 'm', body]));
      let rest = Buffer.concat(frames);
      const reader = new FrameReader();
      const read: unknown[] = [];
      for (const length of [...chunkLengths, rest.length]) {
        const chunk = rest.subarray(0, length);
        rest = rest.subarray(length);
        read.push(...reader.read(chunk).map(([, , , body]) => body));
      }
      read.push(...reader.read(rest).map(([, , , body]) => body));
      assert.deepEqual(read, bodies);
    }),
    { seed: 3 },
  );
});

/** Opens a connection with a {@link Link} at one end and a plain socket at the other. */
async function connectPair(handlers: Map<string, CallHandler>, silenceTimeoutMs = 1000) {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const accepted = new Promise<Socket>((resolve) => {
    server.once('connection', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect({ host: '127.0.0.1', port });
  const peerSocket = await accepted;
  const link = new Link({ socket, handlers, pingIntervalMs: 20, silenceTimeoutMs });
  return { link, peerSocket, server };
}

test('a call resolves with the response and rejects with the message of a handler error', async () => {
  const { link, peerSocket, server } = await connectPair(new Map());
  const handlers = new Map<string, CallHandler>([
    ['double', (body) => Number(body) * 2],
    [
      'fail',
      () => {
        throw new Error('handler failed');
      },
    ],
  ]);
  const peer = new Link({ socket: peerSocket, handlers });
  assert.equal(await link.call('double', 4, 1000), 8);
  await assert.rejects(link.call('fail', null, 1000), /handler failed/);
  link.close();
  peer.close();
  server.close();
});

test('a link whose peer stays silent is closed and its pending calls fail', async () => {
  const { link, peerSocket, server } = await connectPair(new Map(), 100);
  const call = link.call('anything', null, 10_000);
  await assert.rejects(call, /closed/);
  await link.closed;
  peerSocket.destroy();
  server.close();
});

test('a large frame is compressed, a small or incompressible one is not', () => {
  const document = 'the same words '.repeat(10_000);
  const large = encodeFrame([FrameKind.Call, 1, 'm', document], { compresses: true });
  assert.ok(large.length < document.length / 10);
  assert.deepEqual(new FrameReader().read(large), [[FrameKind.Call, 1, 'm', document]]);
  const small = encodeFrame([FrameKind.Call, 1, 'm', 'x'], { compresses: true });
  assert.deepEqual(small, encodeFrame([FrameKind.Call, 1, 'm', 'x']));
});

// Guards against a small frame that takes all memory when it is decompressed.
test('a compressed frame whose content exceeds the limit of a frame is rejected', () => {
  const document = Buffer.alloc(17 * 1024 * 1024);
  const frame = encodeFrame([FrameKind.Call, 1, 'm', document], { compresses: true });
  assert.throws(() => new FrameReader().read(frame), RangeError);
});

// Guards against frames that a process of an earlier version does not understand.
test('large calls are compressed only once the peer has said that it decompresses', async () => {
  const { link, peerSocket, server } = await connectPair(new Map());
  const document = 'the same words '.repeat(10_000);
  let received = 0;
  const sendAndCount = async (): Promise<number> => {
    received = 0;
    link.call('m', document, 1000).catch(() => undefined);
    await sleep(100);
    return received;
  };
  peerSocket.on('data', (chunk: Buffer) => {
    received += chunk.length;
  });
  assert.ok((await sendAndCount()) > document.length);
  peerSocket.write(encodeFrame([FrameKind.Notification, 0, 'capabilities', { inflates: true }]));
  await sleep(50);
  assert.ok((await sendAndCount()) < document.length / 10);
  link.close();
  server.close();
});

// Guards against a flood of subscriptions to a process that closes each link because of an error.
test('a link that does not last is opened at most nine times in a second', async () => {
  let count = 0;
  const server = createServer((socket) => {
    count += 1;
    socket.destroy();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const link = new OutboundLink({ host: '127.0.0.1', port, handlers: new Map() });
  link.run().catch(() => undefined);
  await sleep(1000);
  link.stop();
  server.close();
  assert.ok(count >= 1 && count <= 9, `${count} connections`);
});

test('an encoded notification reaches each link that it is sent over', async () => {
  const received: unknown[] = [];
  const bytes = encodeNotification('m', { value: 7 });
  for (let index = 0; index < 2; index += 1) {
    const { link, peerSocket, server } = await connectPair(new Map());
    const peer = new Link({ socket: peerSocket, handlers: new Map() });
    const arrived = new Promise((resolve) => {
      peer.subscribe(({ method, body }) => resolve([method, body]));
    });
    link.sendEncoded(bytes);
    received.push(await arrived);
    link.close();
    link.sendEncoded(bytes);
    peer.close();
    server.close();
  }
  assert.deepEqual(received, [
    ['m', { value: 7 }],
    ['m', { value: 7 }],
  ]);
});
