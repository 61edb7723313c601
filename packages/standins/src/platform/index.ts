/** The emulated platform service. */
export { createPlatformStandin } from './platform-standin.js';
export * from './types.js';
