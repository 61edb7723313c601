/** Types of loggers. */

/** Log levels, least severe first. */
export const LogLevel = {
  Trace: 'trace',
  Debug: 'debug',
  Info: 'info',
  Warn: 'warn',
  Error: 'error',
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Fields of one log line. Errors are written with their causes. */
export type LogFields = Record<string, unknown>;

/** Writes one JSON object per line. */
export interface Logger {
  trace(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  level(): LogLevel;
  setLevel(level: LogLevel): void;
}

/** Options of a logger. */
export interface LoggerOptions {
  /** Name of the binary. */
  process: string;
  /** Instance id. */
  id: string;
  /** Random id, new on each start of the process. */
  incarnation: string;
  /** Minimum level of written lines. @default 'info' */
  level?: LogLevel;
  /** Writes one line, which includes its line terminator. @default standard output */
  write?: (line: string) => unknown;
}
