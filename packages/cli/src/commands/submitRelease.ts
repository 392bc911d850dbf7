import { userInfo } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ControlClient } from '@azurecart/daemon';
import { CommandError, ExitCode } from '../CommandError.js';
import { CALL_TIMEOUT_MS, getStatus, withControlClient } from '../control/withControlClient.js';
import type { ControlOptions } from '../control/withControlClient.js';
import { printResult } from '../output/printResult.js';
import type { PrintOptions } from '../output/printResult.js';
import { readRelease } from './readRelease.js';

/** Options of submitRelease. */
export interface SubmitOptions extends ControlOptions, PrintOptions {
  operator?: string;
  /** State to wait for: `accepted` or `in-force`. */
  wait: string;
  /** Time in seconds after which no further status check for `in-force` is started. */
  timeout: number;
}

const POLL_MS = 100;

/**
 * Submits a release and waits until it is accepted, or until it is in force everywhere or a later
 * release has been accepted.
 * @throws CommandError if an option or the release is invalid, if the release is refused, or if the
 * wait times out; also the errors of reading the file and of calling the control processes.
 */
export async function submitRelease(file: string, options: SubmitOptions): Promise<void> {
  if (options.wait !== 'accepted' && options.wait !== 'in-force') {
    throw new CommandError(`--wait must be accepted or in-force, found ${options.wait}`);
  }
  const release = await readRelease(file);
  const request = {
    release: JSON.stringify(release),
    operator: options.operator ?? userInfo().username,
  };
  await withControlClient(options, async (client) => {
    const receipt = await client.call((control, call) => control.submit(request, call), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!receipt.accepted) throw new CommandError(receipt.reason, ExitCode.refused);
    const number = Number(receipt.number);
    if (options.wait === 'in-force') await waitUntilInForce(client, number, options.timeout);
    const state = options.wait === 'in-force' ? 'in force everywhere' : 'accepted';
    const line = `release ${number} by ${receipt.operator} is ${state}, digest ${receipt.digest}`;
    printResult(
      { number, state, operator: receipt.operator, digest: receipt.digest },
      [line],
      options,
    );
  });
}

async function waitUntilInForce(
  client: ControlClient,
  number: number,
  seconds: number,
): Promise<void> {
  const deadlineAt = performance.now() + seconds * 1000;
  while (performance.now() < deadlineAt) {
    const { release } = await getStatus(client);
    const isSuperseded = Number(release?.number) > number;
    if (isSuperseded || (Number(release?.number) === number && release?.inForceEverywhere)) return;
    await sleep(POLL_MS);
  }
  const message = `release ${number} is accepted, but not in force everywhere after ${seconds} s`;
  throw new CommandError(message, ExitCode.timedOut);
}
