export * from './hasher.js';
export * from './rendezvous.js';
export * from './ring.js';
export type * from './types.js';
