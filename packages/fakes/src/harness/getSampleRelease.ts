import { hashApiKey } from './hashApiKey.js';

/** Gets the sample release of the demo, the benchmarks and the tests, with the given changes. */
export function getSampleRelease(
  number = 1,
  changes: Record<string, unknown> = {},
): Record<string, unknown> {
  return {
    number,
    follows: number - 1,
    note: 'sample release',
    pools: [{ name: 'fitting-assist', checksFence: true }],
    models: [{ name: 'fitting-assist', version: '1', pool: 'fitting-assist' }],
    priorities: {
      urgent: { minimumShare: 0, deadlineMs: 10_000, firstTokenMs: 600 },
      standard: { minimumShare: 0.1, deadlineMs: 30_000, firstTokenMs: 5_000 },
      batch: { minimumShare: 0.05, deadlineMs: 120_000, firstTokenMs: 60_000 },
    },
    customers: [
      { name: 'dispatch', keyHashes: [hashApiKey('key-dispatch')], priority: 'urgent' },
      { name: 'planning', keyHashes: [hashApiKey('key-planning')], priority: 'standard' },
      { name: 'engineering', keyHashes: [hashApiKey('key-engineering')], priority: 'batch' },
    ],
    services: [
      {
        name: 'work-orders',
        prefix: '/work-orders',
        calls: [
          { method: 'GET', path: '/meters/*', idempotent: true },
          { method: 'POST', path: '/shutoffs', idempotent: false },
        ],
      },
    ],
    ...changes,
  };
}
