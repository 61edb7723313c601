/** Operations behind the commands, usable without oclif. */
export * from './operations/accounts.js';
export * from './operations/backends.js';
export * from './operations/check.js';
export * from './operations/config.js';
export * from './operations/dump.js';
export * from './operations/status.js';
export type * from './operations/types.js';
export * from './outcome.js';
