import bunyan from 'bunyan';

/** Writes JSON lines. */
export type Logger = bunyan;

/** What a logger needs to know. */
export interface LoggerOptions {
  name: string;
  vm: string;
  level?: bunyan.LogLevelString;
}

/** Creates the logger of a process; it writes JSON lines to standard output. */
export function createLogger(options: LoggerOptions): Logger {
  return bunyan.createLogger({
    name: options.name,
    vm: options.vm,
    level: options.level ?? 'info',
    serializers: { err: bunyan.stdSerializers.err },
  });
}
