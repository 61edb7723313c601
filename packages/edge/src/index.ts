/** Public entry of the direct router: composition and settings. */
export { startEdge } from './edge.js';
export { edgeSchema } from './settings.js';
export type { EdgeSettings } from './settings.js';
export type { EdgeContext } from './context.js';
