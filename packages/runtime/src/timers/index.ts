export { afterNextPoll, polled } from './after-next-poll.js';
export { callAfter, repeatEvery, wait } from './timers.js';
export type { Timer } from './timers.js';
