/** Runs fake upstreams in one process. The argument is a JSON array of their settings. */
import { z } from 'zod';
import { FakeEngine } from '../engine/FakeEngine.js';
import { fakeEngineSchema } from '../engine/FakeEngineSettings.js';
import { FakeService, fakeServiceSchema } from '../service/FakeService.js';

const schema = z.array(z.discriminatedUnion('kind', [fakeEngineSchema, fakeServiceSchema]));

const settings = schema.parse(JSON.parse(process.argv[2] ?? '[]'));
for (const each of settings) {
  const upstream = each.kind === 'engine' ? new FakeEngine(each) : new FakeService(each);
  await upstream.start();
}
process.on('SIGTERM', () => process.exit(0));
process.on('SIGINT', () => process.exit(0));
