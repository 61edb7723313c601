export { composeProcess } from './compose-process.js';
export type * from './types.js';
