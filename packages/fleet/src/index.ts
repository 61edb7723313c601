/** Parts that routers and sidecars share. */
export * from './attempt-token.js';
export * from './config-follower.js';
export * from './http-listener.js';
export * from './link-metrics.js';
export * from './membership.js';
export * from './repeat.js';
export * from './signal.js';
