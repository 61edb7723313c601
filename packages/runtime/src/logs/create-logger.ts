/** Log of a process: JSON lines through loglevel. */
import loglevel from 'loglevel';
import VError from 'verror';
import { LogLevel } from './types.js';
import type { LogFields, Logger, LoggerOptions } from './types.js';

function describeError(err: Error): LogFields {
  return { name: err.name, message: err.message, stack: VError.fullStack(err) };
}

function replaceValue(_key: string, value: unknown): unknown {
  if (value instanceof Error) return describeError(value);
  if (typeof value === 'bigint') return value.toString();
  return value;
}

/** The head's members come first and can't be replaced by fields. */
function toLine(head: LogFields, fields: LogFields): string {
  try {
    return JSON.stringify({ ...head, ...fields, ...head }, replaceValue);
  } catch (err) {
    return JSON.stringify({ ...head, unserialisable: String(err) });
  }
}

/** Creates a logger. Each line has `time`, `level`, `process`, `id`, `incarnation`, `event` and the fields of the call. */
export function createLogger(options: LoggerOptions): Logger {
  const { process: processName, id, incarnation, level = LogLevel.Info } = options;
  const write = options.write ?? ((line: string) => process.stdout.write(line));
  const log = loglevel.getLogger(Symbol(processName));

  log.methodFactory =
    (methodName) =>
    (event: string, fields: LogFields = {}) => {
      const time = new Date().toISOString();
      const head = { time, level: methodName, process: processName, id, incarnation, event };
      write(`${toLine(head, fields)}\n`);
    };
  log.setLevel(level, false);

  return {
    trace: (event, fields) => log.trace(event, fields),
    debug: (event, fields) => log.debug(event, fields),
    info: (event, fields) => log.info(event, fields),
    warn: (event, fields) => log.warn(event, fields),
    error: (event, fields) => log.error(event, fields),
    level: () => Object.values(LogLevel)[log.getLevel()] ?? LogLevel.Error,
    setLevel: (next) => log.setLevel(next, false),
  };
}
