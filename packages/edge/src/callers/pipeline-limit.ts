/** Limit of the requests that are open on one connection at a time: a caller may send any number without reading an answer. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Logger } from '@kingcupsill/runtime';
import type { QueuedResponses } from './queued-responses.js';

/** Number from which a connection isn't read until one of them has ended. */
const PAUSE_REQUESTS = 16;
/** Number above which a connection is closed. What a single read holds is parsed as a whole, so a pause comes too late for it. */
const MAX_REQUESTS = 128;

/**
 * Adds a request on a connection. Returns false if it mustn't be processed, since the connection is closed for too many of them.
 */
export type LimitPipeline = (socket: Socket, res: ServerResponse) => boolean;

/** Creates the limit. */
export function createPipelineLimit(responses: QueuedResponses, logger: Logger): LimitPipeline {
  return (socket, res) => {
    responses.add(socket, res);
    const open = responses.count(socket);
    if (open > MAX_REQUESTS) {
      logger.warn('pipeline-too-long', { open });
      socket.destroy();
      return false;
    }
    if (open >= PAUSE_REQUESTS) socket.pause();
    res.once('close', () => {
      if (socket.isPaused() && responses.count(socket) < PAUSE_REQUESTS) socket.resume();
    });
    return true;
  };
}
