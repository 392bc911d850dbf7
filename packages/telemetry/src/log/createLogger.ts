import bunyan from 'bunyan';

/** Writes JSON lines. */
export type Logger = bunyan;

/** What a logger needs to know. */
export interface LoggerOptions {
  name: string;
  vm: string;
  level?: bunyan.LogLevelString;
  /** Takes the lines; by default they are written to standard output as they come. */
  output?: { write(line: string): void };
}

/** Creates the logger of a process; it writes JSON lines to standard output. */
export function createLogger(options: LoggerOptions): Logger {
  return bunyan.createLogger({
    name: options.name,
    vm: options.vm,
    streams: [
      {
        level: options.level ?? 'info',
        stream: (options.output ?? process.stdout) as NodeJS.WritableStream,
      },
    ],
    serializers: { err: bunyan.stdSerializers.err },
  });
}
