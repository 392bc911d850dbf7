import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { IncomingHttpHeaders, RequestListener, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { Frame } from '@azurecart/protocol';
import { EngineStreams, ServiceCalls, StreamFault } from '../../src/entry/upstreams/index.js';
import { Secret } from '../../src/secrets/index.js';

/** Runs an upstream that answers as told. */
async function withUpstream<T>(
  answer: RequestListener,
  run: (address: string) => Promise<T>,
): Promise<T> {
  const server = createServer(answer);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    return await run(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function frame(offset: number, changes: Partial<Frame> = {}): Frame {
  return { id: 'r', offset, text: `t${offset}`, tokens: 1, finish: null, ...changes };
}

function send(...frames: (Frame | string)[]): RequestListener {
  return (_request, response) => {
    writeFrames(response, frames);
    response.end('data: [DONE]\n\n');
  };
}

function writeFrames(response: ServerResponse, frames: (Frame | string)[]): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  frames.forEach((each) => {
    response.write(`data: ${typeof each === 'string' ? each : JSON.stringify(each)}\n\n`);
  });
}

/** Reads a whole answer and gets its texts, or the fault that ended it. */
async function read(address: string, offset = 0, silenceMs = 5000) {
  const foreign: string[] = [];
  const streams = new EngineStreams({
    upstreamSecret: new Secret('s'),
    silenceMs,
    onForeignFrame: (_call, { id }) => foreign.push(id),
  });
  const texts: string[] = [];
  const call = {
    address,
    path: '/v1/completions',
    request: 'r',
    body: Buffer.from('{}'),
    fence: 1,
    priority: 0,
    tokens: 1,
    maxTokens: 9,
    offset,
    peers: [],
    needsFreshConnection: false,
    signal: AbortSignal.timeout(10_000),
  };
  try {
    for await (const each of streams.open(call)) texts.push(each.text);
    return { texts, foreign, outcome: 'whole' };
  } catch (error) {
    assert.ok(error instanceof StreamFault, String(error));
    return { texts, foreign, outcome: error.outcome };
  } finally {
    streams.close();
  }
}

const LAST = frame(2, { finish: 'stop' });

test('frames come in order, the last one at the end', async () => {
  const { texts, outcome } = await withUpstream(send(frame(0), frame(1), LAST), read);
  assert.deepEqual([texts, outcome], [['t0', 't1', 't2'], 'whole']);
});

test('a foreign frame ends the attempt and is not passed on', async () => {
  const answer = send(frame(0), frame(1, { id: 'other' }), LAST);
  const { texts, foreign, outcome } = await withUpstream(answer, read);
  assert.deepEqual([texts, foreign, outcome], [['t0'], ['other'], 'unknown']);
});

test('a late frame is dropped', async () => {
  const answer = send(frame(0), frame(1), frame(0, { text: 'late' }), LAST);
  const { texts, foreign } = await withUpstream(answer, read);
  assert.deepEqual([texts, foreign], [['t0', 't1', 't2'], ['r']]);
});

test('a gap ends the attempt', async () => {
  const { texts, outcome } = await withUpstream(send(frame(0), LAST), read);
  assert.deepEqual([texts, outcome], [['t0'], 'unknown']);
});

test('a body cut short is not a success', async () => {
  const answer: RequestListener = (_request, response) => {
    writeFrames(response, [frame(0), frame(1)]);
    setTimeout(() => response.destroy(), 20);
  };
  assert.equal((await withUpstream(answer, read)).outcome, 'unknown');
});

test('an answer without its last frame is not a success', async () => {
  assert.equal((await withUpstream(send(frame(0)), read)).outcome, 'unknown');
});

test('a malformed frame ends the attempt', async () => {
  assert.equal((await withUpstream(send(frame(0), '{"id":'), read)).outcome, 'unknown');
});

test('a resumed answer goes on from its offset', async () => {
  const { texts } = await withUpstream(send(frame(1), LAST), (address) => read(address, 1));
  assert.deepEqual(texts, ['t1', 't2']);
});

test('silence within an answer ends the attempt', async () => {
  const answer: RequestListener = (_request, response) => writeFrames(response, [frame(0)]);
  const { outcome } = await withUpstream(answer, (address) => read(address, 0, 100));
  assert.equal(outcome, 'unknown');
});

test('a refusal by the engine’s own word did not run', async () => {
  const answer: RequestListener = (_request, response) => {
    response.writeHead(409, { 'azurecart-outcome': 'not-run' }).end();
  };
  assert.equal((await withUpstream(answer, read)).outcome, 'not-run');
});

test('an error without that word may have run', async () => {
  const answer: RequestListener = (_request, response) => {
    response.writeHead(500).end();
  };
  assert.equal((await withUpstream(answer, read)).outcome, 'unknown');
});

test('a prompt that met no connection did not run', async () => {
  const address = await withUpstream(send(), async (open) => open);
  assert.equal((await read(address)).outcome, 'not-run');
});

/** Makes a call that may not be repeated, and gets its status or its outcome. */
async function book(address: string, headers: IncomingHttpHeaders = {}) {
  const calls = new ServiceCalls();
  try {
    const answer = await calls.call({
      address,
      method: 'POST',
      path: '/x',
      headers,
      body: Buffer.from('b'),
      isIdempotent: false,
      signal: AbortSignal.timeout(2000),
    });
    return answer.status;
  } catch (error) {
    assert.ok(error instanceof StreamFault, String(error));
    return error.outcome;
  } finally {
    calls.close();
  }
}

test('a call that met no connection did not run', async () => {
  const address = await withUpstream(send(), async (open) => open);
  assert.equal(await book(address), 'not-run');
});

test('a call whose connection breaks may have run', async () => {
  const answer: RequestListener = (request) => request.socket.destroy();
  assert.equal(await withUpstream(answer, book), 'unknown');
});

test('a call whose answer is cut may have run', async () => {
  const answer: RequestListener = (_request, response) => {
    response.writeHead(200, { 'content-length': 100 });
    response.write('x');
    setTimeout(() => response.destroy(), 20);
  };
  assert.equal(await withUpstream(answer, book), 'unknown');
});

test('a service that says so did not run the call', async () => {
  const answer: RequestListener = (_request, response) => {
    response.writeHead(503, { 'azurecart-outcome': 'not-run' }).end();
  };
  assert.equal(await withUpstream(answer, book), 'not-run');
});

test('the client’s API key is not passed on', async () => {
  let seen: IncomingHttpHeaders = {};
  const answer: RequestListener = (request, response) => {
    seen = request.headers;
    response.end();
  };
  const headers = { authorization: 'Bearer key', 'x-street': '1' };
  assert.equal(await withUpstream(answer, (address) => book(address, headers)), 200);
  assert.equal(seen.authorization, undefined);
  assert.equal(seen['x-street'], '1');
});
