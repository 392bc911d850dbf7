import { spawn } from 'node:child_process';
import type { ChildProcess as NodeChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';

/** Script, arguments and log file of a child process. */
export interface ChildProcessOptions {
  name: string;
  script: string;
  arguments: string[];
  /** Options of Node.js, such as its heap limit. */
  nodeArguments?: string[];
  logFile: string;
}

/** Must exceed the time that an entry process takes to complete its open requests when it stops. */
const EXIT_TIMEOUT_MS = 40_000;

/**
 * Node.js process started by a test, a benchmark or the demo. Signals go to this process only, not to
 * its children.
 */
export class ChildProcess {
  /** Number of exits that neither `kill` nor `stop` caused. */
  unexpectedExits = 0;

  private isExitExpected = false;

  private child: NodeChildProcess | undefined;

  private exited: Promise<number | null> = Promise.resolve(null);

  constructor(private readonly options: ChildProcessOptions) {}

  get name(): string {
    return this.options.name;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  start(): void {
    const log = createWriteStream(this.options.logFile, { flags: 'a' });
    const { script, arguments: scriptArguments, nodeArguments = [] } = this.options;
    const child = spawn(
      process.execPath,
      [...process.execArgv, ...nodeArguments, script, ...scriptArguments],
      { stdio: ['ignore', 'pipe', 'pipe'] },
    );
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.child = child;
    this.isExitExpected = false;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        if (!this.isExitExpected) this.unexpectedExits += 1;
        resolve(code);
      });
    });
  }

  /** Suspends the process with SIGSTOP. */
  suspend(): void {
    this.child?.kill('SIGSTOP');
  }

  /** Resumes the process with SIGCONT. */
  resume(): void {
    this.child?.kill('SIGCONT');
  }

  /** Sends SIGHUP, upon which the process reads its settings again. */
  hangUp(): void {
    this.child?.kill('SIGHUP');
  }

  /** Kills the process with SIGKILL. */
  async kill(): Promise<void> {
    this.isExitExpected = true;
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  /**
   * Terminates the process with SIGTERM, or with SIGKILL after a timeout; gets the exit code, null if
   * the process was not running or a signal ended it.
   */
  async stop(exitTimeoutMs = EXIT_TIMEOUT_MS): Promise<number | null> {
    if (!this.isRunning) return null;
    this.isExitExpected = true;
    this.resume();
    this.child?.kill('SIGTERM');
    const timer = setTimeout(() => this.child?.kill('SIGKILL'), exitTimeoutMs);
    const code = await this.exited;
    clearTimeout(timer);
    return code;
  }
}
