export * from './attempt-journal.js';
export * from './types.js';
