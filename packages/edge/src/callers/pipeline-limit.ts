/** Limit of the requests that are open on one connection at a time: a caller may send any number without reading an answer. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Logger } from '@kingcupsill/runtime';
import type { QueuedResponses } from './queued-responses.js';

/** Numbers of open requests on a connection. */
export interface PipelineLimits {
  /** From this number on, the connection isn't read until one has ended. */
  pauseRequests: number;
  /** Above this number, the connection is closed. What a single read holds is parsed as a whole, so a pause comes too late for it. */
  maxRequests: number;
}

const CALLER_LIMITS: PipelineLimits = { pauseRequests: 16, maxRequests: 128 };

/**
 * Adds a request on a connection. Returns false if it mustn't be processed, since the connection is closed for too many of them.
 */
export type LimitPipeline = (socket: Socket, res: ServerResponse) => boolean;

/** Creates the limit. */
export function createPipelineLimit(
  responses: QueuedResponses,
  logger: Logger,
  { pauseRequests, maxRequests }: PipelineLimits = CALLER_LIMITS,
): LimitPipeline {
  /** Node pauses connections for reasons of its own as well. */
  const paused = new WeakSet<Socket>();
  return (socket, res) => {
    responses.add(socket, res);
    const open = responses.count(socket);
    if (open > maxRequests) {
      logger.warn('pipeline-too-long', { open });
      socket.destroy();
      return false;
    }
    if (open >= pauseRequests) {
      paused.add(socket);
      socket.pause();
    }
    res.once('close', () => {
      if (responses.count(socket) < pauseRequests && paused.delete(socket)) socket.resume();
    });
    return true;
  };
}
