import assert from 'node:assert/strict';
import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import { encodeFrame, FrameKind, FrameReader, Link } from '../../src/links/index.js';
import type { CallHandler } from '../../src/links/index.js';

test('frames survive any cut of the bytes', () => {
  const texts = fc.array(fc.string(), { minLength: 1, maxLength: 5 });
  fc.assert(
    fc.property(texts, fc.array(fc.nat(200)), (bodies, cuts) => {
      const frames = bodies.map((body) => encodeFrame([FrameKind.Notice, 0, 'm', body]));
      let rest = Buffer.concat(frames);
      const reader = new FrameReader();
      const read: unknown[] = [];
      for (const cut of [...cuts, rest.length]) {
        const part = rest.subarray(0, cut);
        rest = rest.subarray(cut);
        read.push(...reader.read(part).map(([, , , body]) => body));
      }
      read.push(...reader.read(rest).map(([, , , body]) => body));
      assert.deepEqual(read, bodies);
    }),
    { seed: 3 },
  );
});

async function connectPair(handlers: Map<string, CallHandler>, silenceMs = 1000) {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const accepted = new Promise<Socket>((resolve) => {
    server.once('connection', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect({ host: '127.0.0.1', port });
  const far = await accepted;
  const near = new Link({ socket, handlers, pingMs: 20, silenceMs });
  return { near, far, server };
}

test('a call gets its answer, and a failure tells its reason', async () => {
  const { near, far, server } = await connectPair(new Map());
  const handlers = new Map<string, CallHandler>([
    ['double', (body) => Number(body) * 2],
    [
      'fail',
      () => {
        throw new Error('no luck');
      },
    ],
  ]);
  const other = new Link({ socket: far, handlers });
  assert.equal(await near.call('double', 4, 1000), 8);
  await assert.rejects(near.call('fail', null, 1000), /no luck/);
  near.close();
  other.close();
  server.close();
});

test('a link that falls silent is closed and its calls fail', async () => {
  const { near, far, server } = await connectPair(new Map(), 100);
  const call = near.call('anything', null, 10_000);
  await assert.rejects(call, /closed/);
  await near.ended;
  far.destroy();
  server.close();
});
