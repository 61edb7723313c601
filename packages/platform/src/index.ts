/** Clients of the platform's object service, instance list and weight store, and the stores of configuration, claims and leases. */
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
