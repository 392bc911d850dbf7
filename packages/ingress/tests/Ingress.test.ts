import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Ingress } from '../src/index.js';
import type { ConnectionLimits } from '../src/index.js';

const LIMITS: ConnectionLimits = {
  maxConnections: 10,
  maxDescriptors: 100,
  maxAheadTotal: 1000,
  maxHeld: 10,
};
const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
const SWEEP_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 10_000;

interface Site {
  ingress: Ingress;
  open(): Client;
}

interface Client {
  socket: Socket;
  text: string;
}

/** Runs a test with a protected server. */
async function withServer(
  listener: RequestListener,
  limits: Partial<ConnectionLimits>,
  run: (site: Site) => Promise<void>,
): Promise<void> {
  const ingress = new Ingress({
    limits: { ...LIMITS, ...limits },
    sweepIntervalMs: SWEEP_INTERVAL_MS,
  });
  const server = createServer(ingress.serverOptions, listener);
  ingress.protect(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const clients: Client[] = [];
  const open = (): Client => {
    const client = { socket: connect(port, '127.0.0.1'), text: '' };
    client.socket.on('data', (chunk: Buffer) => {
      client.text += chunk.toString('latin1');
    });
    client.socket.on('error', () => undefined);
    clients.push(client);
    return client;
  };
  try {
    await run({ ingress, open });
  } finally {
    clients.forEach(({ socket }) => socket.destroy());
    server.close();
    server.closeAllConnections();
  }
}

async function waitFor(condition: () => boolean): Promise<void> {
  const endAt = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    assert.ok(performance.now() < endAt, 'timed out');
    await sleep(5);
  }
}

const countAnswers = ({ text }: Client): number => text.split('HTTP/1.1 200').length - 1;

test('requests sent ahead are parsed a few at a time and all answered in their order', () => {
  let open = 0;
  let mostOpen = 0;
  const paths: string[] = [];
  const listener: RequestListener = (request, response) => {
    open += 1;
    mostOpen = Math.max(mostOpen, open);
    paths.push(request.url ?? '');
    setTimeout(() => {
      open -= 1;
      response.end('ok');
    }, 1);
  };
  return withServer(listener, { maxAhead: 4 }, async ({ open: connectClient }) => {
    const client = connectClient();
    const urls = Array.from({ length: 2000 }, (_, index) => `/${index}`);
    client.socket.write(urls.map((url) => `GET ${url} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
    await waitFor(() => countAnswers(client) === urls.length);
    assert.deepEqual(paths, urls);
    // A slice of 128 bytes may hold several heads beyond the limit.
    assert.ok(mostOpen <= 12, `${mostOpen} requests`);
  });
});

test('bodies that arrive in parts are read whole behind other requests', () => {
  const bodies: number[] = [];
  const listener: RequestListener = (request, response) => {
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
    });
    request.on('end', () => {
      bodies.push(size);
      response.end('ok');
    });
  };
  return withServer(listener, { maxAhead: 1, maxAheadTotal: 0 }, async ({ open }) => {
    const client = open();
    const size = 300_000;
    const body = '\r\n\r\n'.repeat(size / 4);
    const post = `POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: ${size}\r\n\r\n${body}`;
    client.socket.write(post.repeat(5));
    await waitFor(() => countAnswers(client) === 5);
    assert.deepEqual(bodies, Array(5).fill(size));
  });
});

// Covers sockets that the server itself pauses, for bodies and for responses that wait.
test('a reader that pauses now and then gets all answers, however requests are split', () => {
  const listener: RequestListener = (request, response) => {
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
    });
    request.on('end', () => {
      const answer = `${request.url} ${size};`;
      const send = (): unknown => response.end(answer.padEnd(size % 7 === 0 ? 2_000_000 : 20, '.'));
      if (size % 3 === 0) setTimeout(send, 1);
      else send();
    });
  };
  return withServer(listener, { maxAhead: 2, maxAheadTotal: 20 }, async ({ open }) => {
    const sizes = Array.from({ length: 60 }, (_, index) => (index * 7919) % 40_000);
    const text = sizes
      .map((size, index) => {
        const head = `POST /${index} HTTP/1.1\r\nHost: a\r\nContent-Length: ${size}\r\n\r\n`;
        return head + '\r\n\r\n'.repeat(size / 4) + '.'.repeat(size % 4);
      })
      .join('');
    const clients = [open(), open(), open()];
    clients.forEach(({ socket }, client) => {
      const step = [777, 30_011, text.length][client] ?? 0;
      for (let start = 0; start < text.length; start += step)
        socket.write(text.slice(start, start + step));
      socket.on('data', () => {
        socket.pause();
        setTimeout(() => socket.resume(), 1);
      });
    });
    await waitFor(() => clients.every((client) => countAnswers(client) === sizes.length));
    const expected = sizes.map((size, index) => `/${index} ${size};`);
    clients.forEach((client) => assert.deepEqual(client.text.match(/\/\d+ \d+;/g), expected));
  });
});

test('a connection that the server pauses for its answers goes on', () => {
  const listener: RequestListener = (request, response) => {
    response.end((request.url ?? '').padEnd(300_000, '.'));
  };
  return withServer(listener, { maxAhead: 8 }, async ({ open }) => {
    const paths = Array.from({ length: 100 }, (_, index) => `/${index}`);
    const client = open();
    const { socket } = client;
    socket.write(
      paths
        .map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(200)}\r\n\r\n`)
        .join(''),
    );
    socket.on('data', () => {
      socket.pause();
      setTimeout(() => socket.resume(), 1);
    });
    await waitFor(() => countAnswers(client) === paths.length);
    assert.deepEqual(client.text.match(/\/\d+(?=\.\.)/g), paths);
  });
});

test('a client that reads no answers is read no further', () => {
  let count = 0;
  const listener: RequestListener = (_request, response) => {
    count += 1;
    response.end('x'.repeat(1_000_000));
  };
  return withServer(listener, { maxAhead: 2 }, async ({ open }) => {
    const { socket } = open();
    socket.pause();
    socket.write(REQUEST.repeat(5000));
    await waitFor(() => count > 0);
    await sleep(200);
    assert.ok(count < 100, `${count} requests`);
  });
});

test('a reader that takes nothing is disconnected', () => {
  let isClosed = false;
  const listener: RequestListener = (_request, response) => {
    response.once('close', () => {
      isClosed = true;
    });
    response.end('x'.repeat(20_000_000));
  };
  return withServer(listener, { readerTimeoutMs: 200 }, async ({ ingress, open }) => {
    const { socket } = open();
    socket.pause();
    socket.write(REQUEST);
    await waitFor(() => isClosed);
    assert.equal(ingress.statistics.totals.closed.reader, 1);
  });
});

test('a connection beyond the limit is refused as not run', () => {
  const listener: RequestListener = () => undefined;
  const limits = { maxConnections: 2, addressShare: 1, silentShare: 1 };
  return withServer(listener, limits, async ({ ingress, open }) => {
    const clients = [open(), open()];
    clients.forEach(({ socket }) => socket.write(REQUEST));
    await waitFor(() => ingress.table.idleCount === 0 && ingress.table.connectionCount === 2);
    const refused = open();
    refused.socket.write(REQUEST);
    await waitFor(() => refused.socket.closed);
    assert.match(refused.text, /^HTTP\/1\.1 503 .*\r\nRetry-After: 1\r\n/);
    assert.ok(clients.every(({ socket }) => !socket.closed));
  });
});

test('a head that never ends is given up with 408', () => {
  const limits = { getHeadTimeoutMs: () => 100 };
  return withServer(
    () => undefined,
    limits,
    async ({ open }) => {
      const client = open();
      const timer = setInterval(() => client.socket.write('x: y\r\n'), 10);
      client.socket.write('GET / HTTP/1.1\r\n');
      await waitFor(() => client.socket.closed);
      clearInterval(timer);
      assert.match(client.text, /^HTTP\/1\.1 408 /);
    },
  );
});

test('requests without a host, with an unknown expectation or an upgrade count as well', () => {
  const listener: RequestListener = (_request, response) => {
    response.end('ok');
  };
  return withServer(listener, {}, async ({ ingress, open }) => {
    const heads = [
      '',
      'Host: a\r\nExpect: x\r\n',
      'Host: a\r\nUpgrade: x\r\nConnection: Upgrade\r\n',
    ];
    const clients = heads.map((head) => {
      const client = open();
      client.socket.write(`GET / HTTP/1.1\r\n${head}\r\n`.repeat(1000));
      return client;
    });
    await waitFor(() => clients.every(({ text }) => text.startsWith('HTTP/1.1 ')));
    clients.forEach(({ socket }) => socket.destroy());
    await waitFor(() => ingress.table.connectionCount === 0);
    assert.deepEqual([ingress.table.aheadCount, ingress.table.heldCount], [0, 0]);
  });
});

test('a connection held back beyond the limit ends after its answers', () => {
  const listener: RequestListener = (_request, response) => {
    setTimeout(() => response.end('ok'), 20);
  };
  return withServer(listener, { maxAhead: 1, maxHeld: 0 }, async ({ ingress, open }) => {
    const client = open();
    client.socket.write(REQUEST.repeat(2000));
    await waitFor(() => client.socket.closed);
    const answers = countAnswers(client);
    assert.ok(answers >= 2 && answers < 20, `${answers} answers`);
    assert.equal(ingress.statistics.totals.closed.ahead, 1);
  });
});

test('a body without end behind an answer is given up', () => {
  const listener: RequestListener = (request, response) => {
    request.resume();
    response.writeHead(413).end();
  };
  return withServer(listener, { getMaxDrainBytes: () => 500_000 }, async ({ ingress, open }) => {
    const { socket } = open();
    socket.write('POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
    const block = '1\r\n \r\n'.repeat(10_000);
    const send = (): void => {
      if (socket.writable) socket.write(block, send);
    };
    send();
    await waitFor(() => socket.closed);
    assert.equal(ingress.statistics.totals.closed.drain, 1);
  });
});
