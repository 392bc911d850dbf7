import { CALL_TIMEOUT_MS, withControlClient } from '../control/withControlClient.js';
import type { ControlOptions } from '../control/withControlClient.js';
import { printResult } from '../output/printResult.js';
import type { PrintOptions } from '../output/printResult.js';

/**
 * Marks a VM as draining, so that it is assigned no shards and those that it owns move to other VMs,
 * or undoes this.
 */
export async function drainVm(
  vm: string,
  options: ControlOptions & PrintOptions & { undo?: boolean },
): Promise<void> {
  const draining = !options.undo;
  await withControlClient(options, async (client) => {
    await client.call((control, call) => control.drain({ vm, draining }, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    printResult(
      { vm, draining },
      [`${vm} is ${draining ? 'draining' : 'no longer draining'}`],
      options,
    );
  });
}

/** Removes a control member that is permanently gone. */
export async function removeMember(
  id: string,
  options: ControlOptions & PrintOptions,
): Promise<void> {
  await withControlClient(options, async (client) => {
    await client.call((control, call) => control.removeMember({ id }, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    printResult({ removed: id }, [`member ${id} is removed`], options);
  });
}
