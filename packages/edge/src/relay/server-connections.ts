/** Kept connections to backend servers. */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Kept connections. */
export interface ServerConnections {
  agent: Agent;
  /** Closes kept connections to a server that have been idle for longer than `idleMs`. */
  prune(host: string, port: number, idleMs: number): void;
  close(): void;
}

/** Idle connections kept per server: what a burst of answers leaves behind is closed. */
const MOST_IDLE_PER_SERVER = 24;
/** Idle time after which a connection isn't used again where the server states no time-out. */
const DEFAULT_IDLE_MS = 4000;
/** A server may close at its stated time-out; a request must not cross that. */
const IDLE_MARGIN_MS = 1000;

interface Kept {
  idleSinceMs: number;
  end: () => void;
}

interface KeepingAgent extends Agent {
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, req: ClientRequest): void;
}

function statedTimeoutMs(socket: Socket): number | undefined {
  // Node leaves the message that ended on the socket.
  const message = (socket as Socket & { _httpMessage?: ClientRequest & { res?: unknown } })
    ._httpMessage;
  const res = message?.res as { headers?: Record<string, string | undefined> } | undefined;
  const match = /timeout=(\d+)/.exec(res?.headers?.['keep-alive'] ?? '');
  return match === null ? undefined : Number(match[1]) * 1000;
}

/** Creates the connections. Bytes that come while a connection is idle belong to no request, so it is closed. */
export function createServerConnections(nowMs: () => number): ServerConnections {
  const agent = new Agent({
    keepAlive: true,
    scheduling: 'lifo',
    maxFreeSockets: MOST_IDLE_PER_SERVER,
    noDelay: true,
  }) as KeepingAgent;
  const kept = new WeakMap<Socket, Kept>();
  const reuse = agent.reuseSocket.bind(agent);

  agent.keepSocketAlive = (socket) => {
    const stated = statedTimeoutMs(socket) ?? DEFAULT_IDLE_MS + IDLE_MARGIN_MS;
    const idleMs = stated - IDLE_MARGIN_MS;
    if (idleMs <= 0) return false;
    const end = (): void => {
      socket.destroy();
    };
    kept.set(socket, { idleSinceMs: nowMs(), end });
    socket.on('data', end);
    socket.setTimeout(idleMs, end);
    return true;
  };
  agent.reuseSocket = (socket, req) => {
    reuse(socket, req);
    const state = kept.get(socket);
    if (state !== undefined) {
      socket.removeListener('data', state.end);
      socket.setTimeout(0, state.end);
    }
    kept.delete(socket);
  };

  function prune(host: string, port: number, idleMs: number): void {
    const free = agent.freeSockets[agent.getName({ host, port })] ?? [];
    const now = nowMs();
    [...free].forEach((socket) => {
      const state = kept.get(socket);
      if (state !== undefined && now - state.idleSinceMs > idleMs) socket.destroy();
    });
  }

  return { agent, prune, close: () => agent.destroy() };
}
