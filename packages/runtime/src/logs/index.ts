export { createLogger } from './create-logger.js';
export { LogLevel } from './types.js';
export type { Logger, LoggerOptions, LogFields } from './types.js';
