/** The emulated application backend server. */
export { createAppStandin } from './app-standin.js';
export * from './types.js';
export { expectedResult } from './work.js';
