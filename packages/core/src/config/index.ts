export * from './diff.js';
export * from './merge-patch.js';
export * from './patch.js';
export * from './path.js';
export * from './permissions.js';
export * from './schema.js';
export * from './types.js';
export * from './validate.js';
