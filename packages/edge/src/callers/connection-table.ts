/** Table of callers' keep-alive connections and their idle times. */
import type { Socket } from 'node:net';

/** Numbers of callers' connections since the start. */
export interface ConnectionTotals {
  accepted: number;
  /** Closed without a complete response to any request. */
  unanswered: number;
}

/** Open connections of callers. */
export interface ConnectionTable {
  add(socket: Socket): void;
  requestStarted(socket: Socket): void;
  /** `isAnswered` states whether the response was written completely. */
  requestEnded(socket: Socket, isAnswered: boolean): void;
  isIdle(socket: Socket): boolean;
  /** Closes connections that have been idle for longer than `idleMs`. */
  closeIdle(idleMs: number): void;
  /** Closes the idle connections that have carried a request. */
  closeUsed(): void;
  /** Number of connections that haven't carried a request. */
  unusedCount(): number;
  /** Number of requests whose response isn't complete. */
  openRequestCount(): number;
  totals(): ConnectionTotals;
}

interface Connection {
  idleSinceMs: number;
  requests: number;
  used: boolean;
  answered: boolean;
}

/** Creates an empty table. */
export function createConnectionTable(nowMs: () => number): ConnectionTable {
  const connections = new Map<Socket, Connection>();
  const totals: ConnectionTotals = { accepted: 0, unanswered: 0 };
  let openRequests = 0;

  return {
    add(socket) {
      const connection = { idleSinceMs: nowMs(), requests: 0, used: false, answered: false };
      totals.accepted += 1;
      connections.set(socket, connection);
      socket.on('close', () => {
        connections.delete(socket);
        if (!connection.answered) totals.unanswered += 1;
      });
    },
    requestStarted(socket) {
      openRequests += 1;
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.used = true;
      connection.requests += 1;
    },
    requestEnded(socket, isAnswered) {
      openRequests -= 1;
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.answered ||= isAnswered;
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
    closeUsed() {
      connections.forEach(({ requests, used }, socket) => {
        if (requests === 0 && used) socket.end();
      });
    },
    unusedCount: () => [...connections.values()].filter(({ used }) => !used).length,
    openRequestCount: () => openRequests,
    totals: () => totals,
  };
}
