import { CALL_TIMEOUT_MS, withControl } from '../control/withControl.js';
import type { ControlOptions } from '../control/withControl.js';
import { print } from '../output/print.js';
import type { PrintOptions } from '../output/print.js';

/** Marks a VM as draining, so that it owns no shards; or takes the mark away. */
export async function drainVm(
  vm: string,
  options: ControlOptions & PrintOptions & { undo?: boolean },
): Promise<void> {
  const draining = !options.undo;
  await withControl(options, async (client) => {
    await client.call((control, call) => control.drain({ vm, draining }, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    print({ vm, draining }, [`${vm} is ${draining ? 'draining' : 'in service'}`], options);
  });
}

/** Removes a control member that will not come back. */
export async function removeMember(
  id: string,
  options: ControlOptions & PrintOptions,
): Promise<void> {
  await withControl(options, async (client) => {
    await client.call((control, call) => control.removeMember({ id }, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    print({ removed: id }, [`member ${id} is removed`], options);
  });
}
