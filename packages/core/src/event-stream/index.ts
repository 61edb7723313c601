/** Server-sent event streams. */
export type { EventBlock } from './event-block.js';
export { createEventSplitter } from './event-splitter.js';
export type { CompleteEvents, EventSplitter } from './event-splitter.js';
export { createStreamJoin, isEventStream, StreamFault } from './stream-join.js';
export type { RunHead, StreamJoin, StreamJoinOptions } from './stream-join.js';
