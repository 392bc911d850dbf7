import diff from 'microdiff';
import { CALL_TIMEOUT_MS, openControl } from '../control/openControl.js';
import type { ControlOptions } from '../control/openControl.js';
import { print } from '../output/print.js';
import type { PrintOptions } from '../output/print.js';
import { readRelease } from './readRelease.js';

/** Shows what a release file changes in the release in force. */
export async function diffRelease(
  file: string,
  options: ControlOptions & PrintOptions,
): Promise<void> {
  const release = await readRelease(file);
  const { client, close } = await openControl(options);
  try {
    const status = await client.call((control, call) => control.status({}, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const current = JSON.parse(status.releaseText || '{}') as Record<string, unknown>;
    const changes = diff(current, release);
    const lines = changes.map((change) => {
      const before = 'oldValue' in change ? JSON.stringify(change.oldValue) : 'nothing';
      const after = 'value' in change ? JSON.stringify(change.value) : 'nothing';
      return `${change.path.join('.')}: ${before} becomes ${after}`;
    });
    print(changes, lines.length > 0 ? lines : ['no change'], options);
  } finally {
    close();
  }
}
