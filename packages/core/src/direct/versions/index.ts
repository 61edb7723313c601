export * from './recorded-versions.js';
export * from './resumed-streams.js';
export * from './stream-journal.js';
export type * from './types.js';
export * from './version-record.js';
export * from './version-records.js';
export * from './version-state.js';
