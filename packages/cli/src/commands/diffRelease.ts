import diff from 'microdiff';
import { getStatus, withControlClient } from '../control/withControlClient.js';
import type { ControlOptions } from '../control/withControlClient.js';
import { printResult } from '../output/printResult.js';
import type { PrintOptions } from '../output/printResult.js';
import { readRelease } from './readRelease.js';

/** Shows the differences between the latest accepted release and a release file. */
export async function diffRelease(
  file: string,
  options: ControlOptions & PrintOptions,
): Promise<void> {
  const release = await readRelease(file);
  await withControlClient(options, async (client) => {
    const status = await getStatus(client);
    const current = JSON.parse(status.releaseText || '{}') as Record<string, unknown>;
    const changes = diff(current, release);
    const lines = changes.map((change) => {
      const before = 'oldValue' in change ? JSON.stringify(change.oldValue) : 'nothing';
      const after = 'value' in change ? JSON.stringify(change.value) : 'nothing';
      return `${change.path.join('.')}: ${before} becomes ${after}`;
    });
    printResult(changes, lines.length > 0 ? lines : ['no change'], options);
  });
}
