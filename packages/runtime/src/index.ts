/** Common infrastructure of all processes: settings, logs, event loop, admin server, startup and shutdown. */
export * from './admin/index.js';
export * from './binary/index.js';
export * from './clock/index.js';
export * from './composition/index.js';
export * from './http-server/index.js';
export * from './logs/index.js';
export * from './loop/index.js';
export * from './settings/index.js';
export * from './signals/index.js';
export * from './timers/index.js';
