/** Types of the log. */

/** Levels, least first. */
export const LogLevel = {
  Trace: 'trace',
  Debug: 'debug',
  Info: 'info',
  Warn: 'warn',
  Error: 'error',
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Typed fields of one line. Errors are written with their causes. */
export type LogFields = Record<string, unknown>;

/** Writes one JSON object a line. */
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
  /** Random id of this run of the process. */
  incarnation: string;
  /** Least level that is written. @default 'info' */
  level?: LogLevel;
  /** Takes one line with its line end. @default standard output */
  write?: (line: string) => unknown;
}
