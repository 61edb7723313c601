/** The direct router: composition, settings and parts. */
export { startEdge } from './edge.js';
export { edgeSchema } from './settings.js';
export type { EdgeSettings } from './settings.js';
export type { EdgeContext } from './types.js';
