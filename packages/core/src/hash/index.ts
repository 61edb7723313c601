export * from './hasher.js';
export * from './rendezvous.js';
export type * from './types.js';
