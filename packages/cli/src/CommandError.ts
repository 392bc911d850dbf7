/** Exit codes of the command-line interface. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  invalid: 2,
  refused: 3,
  timedOut: 4,
} as const;

/** Thrown when a command fails; sets the exit code of the process. */
export class CommandError extends Error {
  override readonly name = 'CommandError';

  constructor(
    message: string,
    readonly exitCode: number = ExitCode.failed,
  ) {
    super(message);
  }
}
