/** Server-sent event streams. */
export { createEventSplitter } from './event-splitter.js';
export type { CompleteEvents, EventSplitter } from './event-splitter.js';
