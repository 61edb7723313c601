/** Responses that wait behind earlier ones on their connections. Node reports the end of a connection only to the one being sent. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Open responses by connection. */
export interface QueuedResponses {
  /** Adds a response, which emits `close` at the latest when its connection closes. */
  add(socket: Socket, res: ServerResponse): void;
  /** Number of open responses of a connection. */
  count(socket: Socket): number;
}

function closeIfQueued(res: ServerResponse): void {
  if (res.closed || res.writableFinished || res.socket !== null) return;
  res.destroy();
  res.emit('close');
}

/** Creates an empty table. */
export function createQueuedResponses(): QueuedResponses {
  const responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();

  function track(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    responsesBySocket.set(socket, responses);
    socket.once('close', () => responses.forEach(closeIfQueued));
    return responses;
  }

  return {
    add(socket, res) {
      const responses = responsesBySocket.get(socket) ?? track(socket);
      responses.add(res);
      res.once('close', () => responses.delete(res));
    },
    count: (socket) => responsesBySocket.get(socket)?.size ?? 0,
  };
}
