import bunyan from 'bunyan';

/** A logger that writes JSON lines. */
export type Logger = bunyan;

/** Options of createLogger. */
export interface LoggerOptions {
  name: string;
  vm: string;
  level?: bunyan.LogLevelString;
  /** Destination of the lines; standard output, without a bounded queue, by default. */
  output?: { write(line: string): void };
}

/** Creates a bunyan logger that adds the VM to each line and serializes the error in `err`. */
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
