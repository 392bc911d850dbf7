import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  createConfig,
  Deployment,
  exchangeBytes,
  HAS_TROUBLE,
  runCase,
  Runner,
  sleep,
} from '../harness.mjs';

const COUNT = 10;
const FOLDER = dirname(fileURLToPath(import.meta.url));

/** A booking of tenant-a. What its `Connection` header lists concerns only this connection. */
function formatRequest(attempt, connection) {
  const body = `{"booking":"${attempt}"}`;
  return [
    'POST /book/1 HTTP/1.1',
    'Host: work.example',
    `X-Attempt-Id: ${attempt}`,
    'X-Deadline-Ms: 1500',
    'Authorization: Token key-of-tenant-a',
    `Connection: ${connection}`,
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

await runCase(FOLDER, async (recorder, onEnd) => {
  const deployment = new Deployment({ recorder });
  onEnd(() => deployment.stop());
  await deployment.start();
  await deployment.submit(createConfig());
  const runner = new Runner({
    deployment,
    id: 'i-work-1',
    service: 'work-orders',
    zone: 'zone-a',
  });
  onEnd(() => runner.stop());
  await runner.start();
  await deployment.waitUntilReady();
  await sleep(1000);
  const [entry] = deployment.entries;
  const connection = HAS_TROUBLE ? 'close, X-Tenant-Id' : 'close';
  for (let index = 0; index < COUNT; index += 1) {
    const attempt = `attempt-${index}`;
    const answer = await exchangeBytes(entry.front, formatRequest(attempt, connection), 3000);
    recorder.write(
      `sent ${attempt}, Connection: ${connection}; answer: ${answer.split('\r\n')[0]}`,
    );
  }
  for (const { attempt, headers } of runner.runs)
    recorder.write(`run ${attempt}, X-Tenant-Id: ${headers['x-tenant-id'] ?? '(none)'}`);
  if (runner.runs.length < COUNT) throw new Error('not all requests were run');
  return runner.runs.some(({ headers }) => headers['x-tenant-id'] !== 'tenant-a');
});
