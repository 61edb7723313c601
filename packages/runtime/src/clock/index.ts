export { createMonotonicClock } from './create-monotonic-clock.js';
export type { Clock } from './create-monotonic-clock.js';
