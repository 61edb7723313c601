export * from './journals.js';
export * from './nodes.js';
