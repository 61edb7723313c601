/** Table of callers' keep-alive connections and their idle times. */
import type { IncomingMessage } from 'node:http';
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
  /** Adds a connection. If there are as many as may be served, the one that has been idle for longest is ended in favour of it. */
  add(socket: Socket): void;
  /** Returns whether requests on a connection are served, which is decided at its first request. */
  isServed(socket: Socket): boolean;
  requestStarted(socket: Socket, req: IncomingMessage): void;
  /** `isAnswered` states whether the response was written completely. */
  requestEnded(socket: Socket, isAnswered: boolean): void;
  isIdle(socket: Socket): boolean;
  /**
   * Ends a connection without a reset, which could overtake an answer: what still arrives on it is read and discarded. Sends `text`
   * before its end.
   */
  end(socket: Socket, text?: string): void;
  /**
   * Closes a connection if it is idle. A request that is on its way isn't read, so that its caller knows from the reset that it hasn't
   * run.
   */
  closeIfIdle(socket: Socket): void;
  /** Closes connections that have been idle for longer than `idleMs`, and those beyond the limit after a second. */
  closeIdle(idleMs: number): void;
  /** Closes the idle connections that have carried a request. */
  closeUsed(): void;
  /** Closes connections on which a request has been arriving for longer than `receiveMs`, and those that were ended long ago. */
  closeStalled(receiveMs: number): void;
  /** Number of connections that have carried a request, are idle, and haven't been ended. */
  keptCount(): number;
  /** Number of connections that haven't carried a request. */
  unusedCount(): number;
  /** Number of requests whose response isn't complete. */
  openRequestCount(): number;
  totals(): ConnectionTotals;
}

/** Time after which an ended connection is closed though its caller hasn't closed it. */
const MAX_ENDED_MS = 2000;

interface Connection {
  idleSinceMs: number;
  /** Latest request until it has been received, and the time of its head. */
  receiving: IncomingMessage | undefined;
  receivingSinceMs: number;
  endedAtMs: number | undefined;
  requests: number;
  used: boolean;
  answered: boolean;
  /** Beyond the number that may be served. */
  excess: boolean;
}

/** Minimum idle time of a connection that is closed in favour of another: its next request is probably not on its way. */
const MIN_GIVEN_UP_IDLE_MS = 1000;
/** Time for the first request on a connection beyond the limit. */
const MAX_EXCESS_IDLE_MS = 1000;

function createConnection(nowMs: number): Connection {
  return {
    idleSinceMs: nowMs,
    requests: 0,
    used: false,
    answered: false,
    excess: false,
    receiving: undefined,
    receivingSinceMs: 0,
    endedAtMs: undefined,
  };
}

function isKept({ requests, used, endedAtMs }: Connection): boolean {
  return used && requests === 0 && endedAtMs === undefined;
}

function isIdleFor(
  { requests, idleSinceMs, endedAtMs, excess }: Connection,
  idleMs: number,
  currentMs: number,
): boolean {
  const maxIdleMs = excess ? Math.min(idleMs, MAX_EXCESS_IDLE_MS) : idleMs;
  return requests === 0 && endedAtMs === undefined && currentMs - idleSinceMs >= maxIdleMs;
}

function isStalled(
  { receiving, receivingSinceMs, endedAtMs = Number.POSITIVE_INFINITY }: Connection,
  receiveMs: number,
  currentMs: number,
): boolean {
  const isReceiving = receiving !== undefined;
  return (
    (isReceiving && currentMs - receivingSinceMs > receiveMs) ||
    currentMs - endedAtMs > MAX_ENDED_MS
  );
}

/** Releases a request that has been received, since an idle connection must not keep its body, head and answer. */
function releaseReceived(connection: Connection): Connection {
  if (connection.receiving?.complete === true) connection.receiving = undefined;
  return connection;
}

/** Returns the served connection that has been idle for longest, at least since `maxIdleSinceMs`. */
function findLongestIdle(
  connections: ReadonlyMap<Socket, Connection>,
  maxIdleSinceMs: number,
): Socket | undefined {
  const idle = [...connections].filter(
    ([, { requests, excess, idleSinceMs }]) =>
      requests === 0 && !excess && idleSinceMs <= maxIdleSinceMs,
  );
  return idle.sort(([, a], [, b]) => a.idleSinceMs - b.idleSinceMs)[0]?.[0];
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

  function closeWhere(isClosed: (connection: Connection) => boolean): void {
    connections.forEach((connection, socket) => isClosed(connection) && socket.destroy());
  }

  /** The connection counts as beyond the limit until its caller has closed it as well. */
  function end(socket: Socket, text = ''): void {
    const connection = connections.get(socket);
    if (connection !== undefined) {
      connection.endedAtMs ??= nowMs();
      setExcess(connection, true);
    }
    if (!socket.writableEnded) socket.end(text);
  }

  /** Ends the connection that has been idle for longest. Returns whether there was one. */
  function giveUpIdle(): boolean {
    const longestIdle = findLongestIdle(connections, nowMs() - MIN_GIVEN_UP_IDLE_MS);
    if (longestIdle !== undefined) end(longestIdle);
    return longestIdle !== undefined;
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
    requestStarted(socket, req) {
      openRequests += 1;
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.used = true;
      connection.receiving = req;
      connection.receivingSinceMs = nowMs();
      connection.requests += 1;
    },
    requestEnded(socket, isAnswered) {
      openRequests -= 1;
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.answered ||= isAnswered;
      connection.requests -= 1;
      releaseReceived(connection).idleSinceMs = nowMs();
    },
    isIdle: (socket) => connections.get(socket)?.requests === 0,
    end,
    closeIfIdle(socket) {
      const connection = connections.get(socket);
      if (connection !== undefined && isIdleFor(connection, 0, nowMs())) socket.destroy();
    },
    closeIdle: (idleMs) => closeWhere((connection) => isIdleFor(connection, idleMs, nowMs())),
    closeUsed: () => closeWhere(isKept),
    closeStalled: (ms) =>
      closeWhere((connection) => isStalled(releaseReceived(connection), ms, nowMs())),
    keptCount: () => [...connections.values()].filter(isKept).length,
    unusedCount: () => [...connections.values()].filter(({ used }) => !used).length,
    openRequestCount: () => openRequests,
    totals: () => totals,
  };
}
