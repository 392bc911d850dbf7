import { CALL_TIMEOUT_MS, openControl } from '../control/openControl.js';
import type { ControlOptions } from '../control/openControl.js';
import { print } from '../output/print.js';
import type { PrintOptions } from '../output/print.js';

/** Marks a VM as draining, so that it owns no shards; or takes the mark away. */
export async function drainVm(
  vm: string,
  options: ControlOptions & PrintOptions & { undo?: boolean },
): Promise<void> {
  const draining = !options.undo;
  const { client, close } = await openControl(options);
  try {
    await client.call((control, call) => control.drain({ vm, draining }, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    print({ vm, draining }, [`${vm} is ${draining ? 'draining' : 'in service'}`], options);
  } finally {
    close();
  }
}

/** Removes a control member that will not come back. */
export async function removeMember(
  id: string,
  options: ControlOptions & PrintOptions,
): Promise<void> {
  const { client, close } = await openControl(options);
  try {
    await client.call((control, call) => control.removeMember({ id }, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    print({ removed: id }, [`member ${id} is removed`], options);
  } finally {
    close();
  }
}
