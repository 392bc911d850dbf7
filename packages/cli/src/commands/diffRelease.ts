import diff from 'microdiff';
import { getStatus, withControl } from '../control/withControl.js';
import type { ControlOptions } from '../control/withControl.js';
import { print } from '../output/print.js';
import type { PrintOptions } from '../output/print.js';
import { readRelease } from './readRelease.js';

/** Shows what a release file changes in the release in force. */
export async function diffRelease(
  file: string,
  options: ControlOptions & PrintOptions,
): Promise<void> {
  const release = await readRelease(file);
  await withControl(options, async (client) => {
    const status = await getStatus(client);
    const current = JSON.parse(status.releaseText || '{}') as Record<string, unknown>;
    const changes = diff(current, release);
    const lines = changes.map((change) => {
      const before = 'oldValue' in change ? JSON.stringify(change.oldValue) : 'nothing';
      const after = 'value' in change ? JSON.stringify(change.value) : 'nothing';
      return `${change.path.join('.')}: ${before} becomes ${after}`;
    });
    print(changes, lines.length > 0 ? lines : ['no change'], options);
  });
}
