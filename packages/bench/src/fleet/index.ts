export { OPERATOR_KEY } from './config-document.js';
export { formatIni, mergeSettings } from './settings.js';
export { startFleet } from './fleet.js';
export type { FleetOptions } from './fleet.js';
export { startProcess } from './process.js';

export * from './types.js';
export { patchConfig, setPlatformFault } from './platform-admin.js';
