/** JSON lines logger, based on loglevel. */
import loglevel from 'loglevel';
import VError from 'verror';
import { LogLevel } from './types.js';
import type { LogFields, Logger, LoggerOptions } from './types.js';

function describeError(err: Error): LogFields {
  return { name: err.name, message: err.message, stack: VError.fullStack(err) };
}

function serializeValue(_key: string, value: unknown): unknown {
  if (value instanceof Error) return describeError(value);
  if (typeof value === 'bigint') return value.toString();
  return value;
}

/** Serializes a log line. The base fields come first and can't be overridden by `fields`. */
function formatLine(baseFields: LogFields, fields: LogFields): string {
  try {
    return JSON.stringify({ ...baseFields, ...fields, ...baseFields }, serializeValue);
  } catch (err) {
    return JSON.stringify({ ...baseFields, unserialisable: String(err) });
  }
}

/** Creates a logger. Each line contains `time`, `level`, `process`, `id`, `incarnation`, `event` and the fields of the call. */
export function createLogger(options: LoggerOptions): Logger {
  const { process: processName, id, incarnation, level = LogLevel.Info } = options;
  const write = options.write ?? ((line: string) => process.stdout.write(line));
  const log = loglevel.getLogger(Symbol(processName));

  log.methodFactory =
    (methodName) =>
    (event: string, fields: LogFields = {}) => {
      const time = new Date().toISOString();
      const baseFields = { time, level: methodName, process: processName, id, incarnation, event };
      write(`${formatLine(baseFields, fields)}\n`);
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
