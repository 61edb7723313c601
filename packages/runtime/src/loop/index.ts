export { createLoop } from './create-loop.js';
export type * from './types.js';
