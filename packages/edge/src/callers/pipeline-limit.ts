/** Limit of the requests that are open on one connection at a time: a caller may send any number without reading an answer. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { resumeReading, stopReading } from '../pause-reading.js';
import type { QueuedResponses } from './queued-responses.js';

/** Number of open requests from which a caller's connection isn't read until one has ended. */
const MAX_OPEN_REQUESTS = 16;

/** Adds a request on a connection. What the same read holds behind it is processed, too; later requests wait in the kernel. */
export type LimitPipeline = (socket: Socket, res: ServerResponse) => void;

/** Creates the limit. */
export function createPipelineLimit(
  responses: QueuedResponses,
  maxOpenRequests = MAX_OPEN_REQUESTS,
): LimitPipeline {
  return (socket, res) => {
    responses.add(socket, res);
    // `pause` doesn't last: Node's parser resumes the connection at the end of each request.
    if (responses.count(socket) >= maxOpenRequests) stopReading(socket);
    res.once('close', () => {
      if (responses.count(socket) < maxOpenRequests) resumeReading(socket);
    });
  };
}
