/** Components shared by routers and sidecars. */
export * from './attempt-token.js';
export * from './config-poller.js';
export * from './connect-error.js';
export * from './deferred.js';
export * from './http-listener.js';
export * from './link-registry.js';
export * from './link-traffic.js';
export * from './membership-polling.js';
export * from './periodic-task.js';
export * from './process-hello.js';
export * from './read-body.js';
export * from './shared-parts.js';
export * from './state-gauges.js';
export * from './sync-links.js';
