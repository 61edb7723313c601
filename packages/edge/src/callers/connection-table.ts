/** Table of callers' keep-alive connections and their idle times. */
import type { Socket } from 'node:net';

/** Numbers of callers' connections since the start. */
export interface ConnectionTotals {
  accepted: number;
  /** Closed without a complete response to any request. */
  unanswered: number;
  /** Accepted beyond the limit, and refused unless others closed before their first request. */
  excess: number;
}

/** Open connections of callers. */
export interface ConnectionTable {
  /** Adds a connection. If there are as many as may be served, the one that has been idle for longest is closed in favour of it. */
  add(socket: Socket): void;
  /** Returns whether requests on a connection are served, which is decided at its first request. */
  isServed(socket: Socket): boolean;
  requestStarted(socket: Socket): void;
  /** `isAnswered` states whether the response was written completely. */
  requestEnded(socket: Socket, isAnswered: boolean): void;
  isIdle(socket: Socket): boolean;
  /** Closes connections that have been idle for longer than `idleMs`, and those beyond the limit after a second. */
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
  /** Beyond the number that may be served. */
  excess: boolean;
  /** Time at which this router has closed its side; undefined before. */
  closedAtMs: number | undefined;
}

/** Minimum idle time of a connection that is closed in favour of another: its next request is probably not on its way. */
const MIN_GIVEN_UP_IDLE_MS = 1000;
/** Time for the first request on a connection beyond the limit. */
const MAX_EXCESS_IDLE_MS = 1000;
/** Time for a caller to close its side of a connection, after which the descriptor is freed. */
const MAX_CLOSING_MS = 2000;

function createConnection(nowMs: number): Connection {
  return {
    idleSinceMs: nowMs,
    requests: 0,
    used: false,
    answered: false,
    excess: false,
    closedAtMs: undefined,
  };
}

/** Returns the served connection that has been idle for longest, at least since `maxIdleSinceMs`. */
function findLongestIdle(
  connections: ReadonlyMap<Socket, Connection>,
  maxIdleSinceMs: number,
): [Socket, Connection] | undefined {
  const idle = [...connections].filter(
    ([, { requests, excess, idleSinceMs }]) =>
      requests === 0 && !excess && idleSinceMs <= maxIdleSinceMs,
  );
  return idle.sort(([, a], [, b]) => a.idleSinceMs - b.idleSinceMs)[0];
}

/** Creates an empty table of which `maxServed` connections are served. */
export function createConnectionTable(nowMs: () => number, maxServed: number): ConnectionTable {
  const connections = new Map<Socket, Connection>();
  const totals: ConnectionTotals = { accepted: 0, unanswered: 0, excess: 0 };
  let openRequests = 0;
  let excessCount = 0;
  const isFull = (): boolean => connections.size - excessCount >= maxServed;

  function setExcess(connection: Connection, excess: boolean): void {
    if (connection.excess !== excess) excessCount += excess ? 1 : -1;
    connection.excess = excess;
  }

  /** Sends the end of the connection. It counts as beyond the limit until the caller has closed it as well. */
  function close(socket: Socket, connection: Connection): void {
    socket.end();
    connection.closedAtMs ??= nowMs();
    setExcess(connection, true);
  }

  /** Closes the connection that has been idle for longest. Returns whether there was one. */
  function giveUpIdle(): boolean {
    const longestIdle = findLongestIdle(connections, nowMs() - MIN_GIVEN_UP_IDLE_MS);
    if (longestIdle !== undefined) close(...longestIdle);
    return longestIdle !== undefined;
  }

  function closeIfIdle(socket: Socket, connection: Connection, idleMs: number): void {
    const { requests, excess, idleSinceMs, closedAtMs } = connection;
    if (requests > 0) return;
    if (closedAtMs !== undefined) {
      if (nowMs() - closedAtMs >= MAX_CLOSING_MS) socket.destroy();
      return;
    }
    const maxIdleMs = excess ? Math.min(idleMs, MAX_EXCESS_IDLE_MS) : idleMs;
    if (nowMs() - idleSinceMs >= maxIdleMs) close(socket, connection);
  }

  return {
    add(socket) {
      const connection = createConnection(nowMs());
      totals.accepted += 1;
      if (isFull() && !giveUpIdle()) {
        totals.excess += 1;
        setExcess(connection, true);
      }
      connections.set(socket, connection);
      socket.on('close', () => {
        connections.delete(socket);
        setExcess(connection, false);
        if (!connection.answered) totals.unanswered += 1;
      });
    },
    isServed(socket) {
      const connection = connections.get(socket);
      if (connection === undefined) return false;
      if (connection.excess && !connection.used && !isFull()) setExcess(connection, false);
      return !connection.excess;
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
      connections.forEach((connection, socket) => closeIfIdle(socket, connection, idleMs));
    },
    closeUsed() {
      connections.forEach((connection, socket) => {
        if (connection.requests === 0 && connection.used) close(socket, connection);
      });
    },
    unusedCount: () => [...connections.values()].filter(({ used }) => !used).length,
    openRequestCount: () => openRequests,
    totals: () => totals,
  };
}
