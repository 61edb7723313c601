/** Memory of the process by owner. */
import { getHeapStatistics } from 'node:v8';
import type { BodyBudget } from './callers/body-budget.js';
import { HeldFor } from './relay/response-memory.js';
import type { ServerConnections } from './relay/server-connections.js';

/** Bytes by owner, and the connections to backend servers, which hold what their parsers and the kernel keep. */
export interface MemoryUse {
  residentBytes: number;
  heapBytes: number;
  /** Memory that the heap occupies, its free parts included. */
  heapTotalBytes: number;
  heapLimitBytes: number;
  /** Memory outside the heap that its objects hold, array buffers included. */
  externalBytes: number;
  arrayBufferBytes: number;
  requestBodyBytes: number;
  /** Buffered responses, until their callers have read them. */
  responseBytes: number;
  /** Events that aren't complete, and comments before a resumed stream's first event. */
  unfinishedEventBytes: number;
  busyConnections: number;
  idleConnections: number;
}

/** Reads the memory in use; takes tens of microseconds. */
export function readMemoryUse(
  bodyBudget: BodyBudget,
  { responseMemory, countConnections }: ServerConnections,
): MemoryUse {
  const { rss, heapUsed, heapTotal, external, arrayBuffers } = process.memoryUsage();
  const { busy, idle } = countConnections();
  return {
    residentBytes: rss,
    heapBytes: heapUsed,
    heapTotalBytes: heapTotal,
    heapLimitBytes: getHeapStatistics().heap_size_limit,
    externalBytes: external,
    arrayBufferBytes: arrayBuffers,
    requestBodyBytes: bodyBudget.heldBytes(),
    responseBytes: responseMemory.heldBytes(HeldFor.Response),
    unfinishedEventBytes: responseMemory.heldBytes(HeldFor.UnfinishedEvent),
    busyConnections: busy,
    idleConnections: idle,
  };
}
