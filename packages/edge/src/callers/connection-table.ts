/** Table of callers' keep-alive connections and their idle times. */
import type { Socket } from 'node:net';

/** Open connections of callers. */
export interface ConnectionTable {
  add(socket: Socket): void;
  requestStarted(socket: Socket): void;
  requestEnded(socket: Socket): void;
  isIdle(socket: Socket): boolean;
  /** Closes connections that have been idle for longer than `idleMs`. */
  closeIdle(idleMs: number): void;
  /** Number of requests whose response isn't complete. */
  openRequestCount(): number;
}

interface Connection {
  idleSinceMs: number;
  requests: number;
}

/** Creates an empty table. */
export function createConnectionTable(nowMs: () => number): ConnectionTable {
  const connections = new Map<Socket, Connection>();
  let openRequests = 0;

  return {
    add(socket) {
      connections.set(socket, { idleSinceMs: nowMs(), requests: 0 });
      socket.on('close', () => connections.delete(socket));
    },
    requestStarted(socket) {
      openRequests += 1;
      const connection = connections.get(socket);
      if (connection !== undefined) connection.requests += 1;
    },
    requestEnded(socket) {
      openRequests -= 1;
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.requests -= 1;
      connection.idleSinceMs = nowMs();
    },
    isIdle: (socket) => connections.get(socket)?.requests === 0,
    closeIdle(idleMs) {
      const idleBeforeMs = nowMs() - idleMs;
      connections.forEach(({ requests, idleSinceMs }, socket) => {
        if (requests === 0 && idleSinceMs <= idleBeforeMs) socket.end();
      });
    },
    openRequestCount: () => openRequests,
  };
}
