/** Exit codes of the command line. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  invalid: 2,
  refused: 3,
  timedOut: 4,
} as const;

/** A command failed; carries the exit code. */
export class CommandFault extends Error {
  override readonly name = 'CommandFault';

  constructor(
    message: string,
    readonly exitCode: number = ExitCode.failed,
  ) {
    super(message);
  }
}
