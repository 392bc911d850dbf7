import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Exchange } from '../../src/entry/Exchange.js';
import { ExchangeQueue } from '../../src/entry/ExchangeQueue.js';

const WORK_MS = 50;

interface Result {
  /** Paths of the requests that were begun, in their order. */
  begun: string[];
  /** The highest number of requests that were served at the same time. */
  mostAtOnce: number;
  text: string;
}

/** Sends requests ahead on one connection, which is closed after the response to one of them. */
async function pipeline(paths: string[], closingPath?: string): Promise<Result> {
  const queue = new ExchangeQueue();
  const begun: string[] = [];
  let running = 0;
  let mostAtOnce = 0;
  const serve = async (exchange: Exchange): Promise<void> => {
    if (!(await queue.waitForTurn(exchange))) return;
    begun.push(exchange.request.url ?? '');
    running += 1;
    mostAtOnce = Math.max(mostAtOnce, running);
    await sleep(WORK_MS);
    running -= 1;
    exchange.writeHead(200, [['Content-Length', '2']]);
    exchange.response.end('ok');
  };
  const server = createServer((request, response) => {
    serve(new Exchange(request, response, () => request.url === closingPath));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  socket.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`).join(''));
  await sleep(WORK_MS * (paths.length + 2));
  socket.destroy();
  server.close();
  server.closeAllConnections();
  return { begun, mostAtOnce, text };
}

// Guards against requests that run at an upstream although their answers can no longer be sent.
test('a request behind an answer that closes the connection is not begun', async () => {
  const { begun, text } = await pipeline(['/a', '/b', '/c'], '/a');
  assert.deepEqual(begun, ['/a']);
  assert.equal(text.match(/HTTP\/1\.1 200/g)?.length, 1);
});

test('requests that are sent ahead are served one after the other', async () => {
  const { begun, mostAtOnce, text } = await pipeline(['/a', '/b', '/c']);
  assert.deepEqual([begun, mostAtOnce], [['/a', '/b', '/c'], 1]);
  assert.equal(text.match(/HTTP\/1\.1 200/g)?.length, 3);
});

test('what is behind the second of three answers is not begun if that one closes', async () => {
  const { begun } = await pipeline(['/a', '/b', '/c'], '/b');
  assert.deepEqual(begun, ['/a', '/b']);
});
