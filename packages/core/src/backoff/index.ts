export * from './exponential-backoff.js';
