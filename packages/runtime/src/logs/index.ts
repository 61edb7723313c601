export { createLogSink } from './create-log-sink.js';
export type { LogSink } from './create-log-sink.js';
export { createLogger } from './create-logger.js';
export { LogLevel } from './types.js';
export type { Logger, LoggerOptions, LogFields } from './types.js';
