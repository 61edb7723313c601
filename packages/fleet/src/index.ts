/** Parts that routers and sidecars share. */
export * from './attempt-token.js';
export * from './config-polls.js';
export * from './http-listener.js';
export * from './keep-links.js';
export * from './link-feed.js';
export * from './link-metrics.js';
export * from './membership.js';
export * from './not-sent.js';
export * from './process-hello.js';
export * from './read-body.js';
export * from './repeat.js';
export * from './shared-parts.js';
export * from './signal.js';
export * from './state-gauges.js';
