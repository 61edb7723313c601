export { OPERATOR_KEY } from './config-document.js';
export { mergeSettings, settingsToEnvironment } from './environment.js';
export { startFleet } from './fleet.js';
export { startProcess } from './process.js';
export type { SpecContext } from './specs.js';
export * from './types.js';
