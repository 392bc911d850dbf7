import { userInfo } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ControlClient } from '@azurecart/daemon';
import { CommandFault, ExitCode } from '../CommandFault.js';
import { CALL_TIMEOUT_MS, getStatus, withControl } from '../control/withControl.js';
import type { ControlOptions } from '../control/withControl.js';
import { print } from '../output/print.js';
import type { PrintOptions } from '../output/print.js';
import { readRelease } from './readRelease.js';

/** How a release is submitted. */
export interface SubmitOptions extends ControlOptions, PrintOptions {
  operator?: string;
  /** `accepted` or `in-force`. */
  wait: string;
  /** Longest wait in seconds. */
  timeout: number;
}

const POLL_MS = 100;

/**
 * Submits a release and waits until it is accepted, or in force everywhere.
 * @throws CommandFault when another release has the number, or the wait is over.
 */
export async function submitRelease(file: string, options: SubmitOptions): Promise<void> {
  if (options.wait !== 'accepted' && options.wait !== 'in-force') {
    throw new CommandFault(`--wait must be accepted or in-force, found ${options.wait}`);
  }
  const release = await readRelease(file);
  const request = {
    release: JSON.stringify(release),
    operator: options.operator ?? userInfo().username,
  };
  await withControl(options, async (client) => {
    const receipt = await client.call((control, call) => control.submit(request, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!receipt.accepted) throw new CommandFault(receipt.reason, ExitCode.refused);
    const number = Number(receipt.number);
    if (options.wait === 'in-force') await waitInForce(client, number, options.timeout);
    const state = options.wait === 'in-force' ? 'in force everywhere' : 'accepted';
    const line = `release ${number} by ${receipt.operator} is ${state}, digest ${receipt.digest}`;
    print({ number, state, operator: receipt.operator, digest: receipt.digest }, [line], options);
  });
}

async function waitInForce(client: ControlClient, number: number, seconds: number): Promise<void> {
  const endAt = performance.now() + seconds * 1000;
  while (performance.now() < endAt) {
    const { release } = await getStatus(client);
    const isLater = Number(release?.number) > number;
    if (isLater || (Number(release?.number) === number && release?.inForceEverywhere)) return;
    await sleep(POLL_MS);
  }
  const message = `release ${number} is accepted, but not in force everywhere after ${seconds} s`;
  throw new CommandFault(message, ExitCode.timedOut);
}
