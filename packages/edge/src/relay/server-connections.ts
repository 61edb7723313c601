/** Pool of keep-alive connections to backend servers. */
import { getOwn } from '@kingcupsill/core/collections';
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { createCrowdedReads } from '../pause-reading.js';
import type { CrowdedReads } from '../pause-reading.js';
import { createResponseMemory } from './response-memory.js';
import type { ResponseMemory } from './response-memory.js';

/** Connection pool. */
export interface ServerConnections {
  agent: Agent;
  /** Memory of all buffered responses and unfinished events. */
  responseMemory: ResponseMemory;
  /** Connections of responses in many small pieces. */
  crowdedReads: CrowdedReads;
  countConnections(): { busy: number; idle: number };
  /** Closes the idle connections to a server that must not be used again. `idleMs` is the time since the last use. */
  prune(host: string, port: number, isUnusable: (socket: Socket, idleMs: number) => boolean): void;
  /**
   * Closes the idle connections to a server that haven't been used since a request began which got no byte on a kept connection: they
   * may have gone silent with it. Returns their number; 0 if the request was short or has had a new connection.
   */
  closeDoubtful(host: string, port: number, unanswered: Socket): number;
  /**
   * Closes the idle connections to all servers that haven't been used just now, after one has gone silent: what silenced it may have
   * silenced them. Returns their number.
   */
  closeRested(): number;
  close(): void;
}

/** Time without a byte after which a kept connection may have gone silent; several times what a server takes for its first one. */
const DOUBTFUL_AFTER_MS = 500;
/** Time since its last use after which a connection may have gone silent with another one, which has been quiet for longer. */
const RESTED_AFTER_MS = 250;
/** Maximum number of idle connections per server; the excess after a burst is closed. */
const MAX_IDLE_PER_SERVER = 24;
/** Idle timeout of connections to servers that state none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000;
/** Margin before the server's stated timeout, so that no request is sent while the server closes the connection. */
const IDLE_MARGIN_MS = 1000;

interface IdleConnection {
  idleSinceMs: number;
  destroySocket: () => void;
}

/** Node calls back with an error in place of a connection. Its types lack the callback. */
type CreateConnection = (
  options: object,
  onCreated: (err: Error | null, socket?: Duplex) => void,
) => Socket | undefined;

interface KeepAliveAgent extends Agent {
  createConnection: CreateConnection;
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, req: ClientRequest): void;
}

function parseKeepAliveTimeoutMs(socket: Socket): number | undefined {
  // Internal property: Node's reference from the socket to its last request. There is no public accessor.
  const message = (socket as Socket & { _httpMessage?: ClientRequest & { res?: unknown } })
    ._httpMessage;
  const res = message?.res as { headers?: Record<string, string | undefined> } | undefined;
  // More digits than a timer can have count as no timeout.
  const match = /timeout=(\d{1,6})(?!\d)/.exec(res?.headers?.['keep-alive'] ?? '');
  return match === null ? undefined : Number(match[1]) * 1000;
}

/** Options of the pool. */
export interface ServerConnectionsOptions {
  nowMs: () => number;
  /** Maximum number of connections. The one that has been idle for longest is closed in favour of a new one. */
  maxConnections: number;
  /** Memory in bytes for buffered responses and unfinished events. */
  responseBytes: number;
}

/** Ways to close idle connections. */
function createClosers(
  agent: Agent,
  idleConnections: ReadonlyMap<Socket, IdleConnection>,
  reusedAtMs: WeakMap<Socket, number>,
  nowMs: () => number,
): Pick<ServerConnections, 'prune' | 'closeDoubtful' | 'closeRested'> {
  function closeIdle(
    host: string,
    port: number,
    isUnusable: (socket: Socket, idle: IdleConnection) => boolean,
  ): number {
    const free = getOwn(agent.freeSockets, agent.getName({ host, port })) ?? [];
    const unusable = free.filter((socket) => {
      const idle = idleConnections.get(socket);
      return idle !== undefined && isUnusable(socket, idle);
    });
    unusable.forEach((socket) => socket.destroy());
    return unusable.length;
  }

  return {
    prune(host, port, isUnusable) {
      const currentMs = nowMs();
      closeIdle(host, port, (socket, idle) => isUnusable(socket, currentMs - idle.idleSinceMs));
    },
    closeDoubtful(host, port, unanswered) {
      const startedAtMs = reusedAtMs.get(unanswered);
      if (startedAtMs === undefined || nowMs() - startedAtMs < DOUBTFUL_AFTER_MS) return 0;
      return closeIdle(host, port, (_socket, { idleSinceMs }) => idleSinceMs < startedAtMs);
    },
    closeRested() {
      const restedSinceMs = nowMs() - RESTED_AFTER_MS;
      const rested = [...idleConnections.values()].filter(
        ({ idleSinceMs }) => idleSinceMs <= restedSinceMs,
      );
      rested.forEach(({ destroySocket }) => destroySocket());
      return rested.length;
    },
  };
}

/** Creates the pool. A connection that receives bytes while idle is closed, since they belong to no request. */
export function createServerConnections({
  nowMs,
  maxConnections,
  responseBytes,
}: ServerConnectionsOptions): ServerConnections {
  const agent = new Agent({
    keepAlive: true,
    scheduling: 'lifo',
    maxFreeSockets: MAX_IDLE_PER_SERVER,
    noDelay: true,
  }) as KeepAliveAgent;
  /** By time of their last use. */
  const idleConnections = new Map<Socket, IdleConnection>();
  /** Time of the last use of each connection that isn't a new one. */
  const reusedAtMs = new WeakMap<Socket, number>();
  let openCount = 0;
  const reuse = agent.reuseSocket.bind(agent);
  const connect = agent.createConnection.bind(agent);

  agent.createConnection = (connectOptions, onCreated) => {
    if (openCount >= maxConnections) {
      const [longestIdle] = idleConnections.keys();
      if (longestIdle === undefined) {
        const err = new Error('connections to servers used up');
        onCreated(Object.assign(err, { code: 'EMFILE' }));
        return undefined;
      }
      idleConnections.delete(longestIdle);
      longestIdle.destroy();
    }
    const socket = connect(connectOptions, onCreated);
    openCount += 1;
    socket?.once('close', () => {
      openCount -= 1;
      idleConnections.delete(socket);
    });
    return socket;
  };

  agent.keepSocketAlive = (socket) => {
    const serverTimeoutMs =
      parseKeepAliveTimeoutMs(socket) ?? DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS;
    const idleTimeoutMs = serverTimeoutMs - IDLE_MARGIN_MS;
    if (idleTimeoutMs <= 0) return false;
    const destroySocket = (): void => {
      socket.destroy();
    };
    idleConnections.set(socket, { idleSinceMs: nowMs(), destroySocket });
    socket.on('data', destroySocket);
    socket.setTimeout(idleTimeoutMs, destroySocket);
    return true;
  };
  agent.reuseSocket = (socket, req) => {
    reuse(socket, req);
    reusedAtMs.set(socket, nowMs());
    const idle = idleConnections.get(socket);
    if (idle !== undefined) {
      socket.removeListener('data', idle.destroySocket);
      socket.setTimeout(0, idle.destroySocket);
    }
    idleConnections.delete(socket);
  };

  return {
    agent,
    responseMemory: createResponseMemory(responseBytes),
    crowdedReads: createCrowdedReads(),
    countConnections: () => ({
      busy: openCount - idleConnections.size,
      idle: idleConnections.size,
    }),
    ...createClosers(agent, idleConnections, reusedAtMs, nowMs),
    close: () => agent.destroy(),
  };
}
