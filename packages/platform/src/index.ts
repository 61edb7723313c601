/** Clients of the platform: object service, instance list, weight store, and the configuration kept there. */
export * from './claim-store.js';
export { digestKey } from './config-committer.js';
export { encodeSnapshot } from './config-log.js';
export * from './config-store.js';
export * from './config-types.js';
export * from './instance-client.js';
export * from './lease-store.js';
export * from './object-client.js';
export * from './types.js';
export * from './weight-client.js';
