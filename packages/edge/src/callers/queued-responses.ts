/**
 * Open responses of each connection. Those that wait behind earlier ones learn from it that the connection has ended, which Node reports
 * only to the one being sent.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Open responses by connection. */
export interface QueuedResponses {
  /** Adds a response, which emits `close` at the latest when its connection closes. */
  add(socket: Socket, res: ServerResponse): void;
  /**
   * Closes the connection behind a response that hasn't been sent, unless others are open on it; returns whether it does. The connection
   * ends when its caller has read the response and closes its side, so that until then it is known that the kernel may hold the response.
   */
  closeBehind(res: ServerResponse): boolean;
  /** Returns whether a connection closes behind an open response, so that no further request on it can be answered. */
  isClosing(socket: Socket): boolean;
}

function closeIfQueued(res: ServerResponse): void {
  if (res.closed || res.writableFinished || res.socket !== null) return;
  res.destroy();
  res.emit('close');
}

/** Creates an empty table. */
export function createQueuedResponses(): QueuedResponses {
  const responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();
  const closingSockets = new WeakSet<Socket>();

  function track(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    responsesBySocket.set(socket, responses);
    socket.once('close', () => responses.forEach(closeIfQueued));
    return responses;
  }

  return {
    isClosing: (socket) => closingSockets.has(socket),
    closeBehind(res) {
      const { socket } = res.req;
      if (responsesBySocket.get(socket)?.size !== 1 || res.headersSent) return false;
      closingSockets.add(socket);
      res.shouldKeepAlive = false;
      // Node would close the connection as soon as the kernel has taken the response.
      socket.destroySoon = () => socket.end();
      return true;
    },
    add(socket, res) {
      const responses = responsesBySocket.get(socket) ?? track(socket);
      responses.add(res);
      res.once('close', () => responses.delete(res));
    },
  };
}
