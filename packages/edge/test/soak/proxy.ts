/** TCP proxy on loopback that injects network faults: delays, resets and lost bytes in one or both directions. */
import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { listenOn } from '@kingcupsill/runtime';

/** Forwarding mode of a proxy. */
export const ProxyMode = {
  Pass: 'pass',
  Delay: 'delay',
  /** Drops bytes in both directions; new connections hang. */
  Silent: 'silent',
  /** Drops bytes of answers and forwards requests. */
  OneWay: 'one-way',
  /** Resets new connections. */
  Refuse: 'refuse',
} as const;
export type ProxyMode = (typeof ProxyMode)[keyof typeof ProxyMode];

export interface Proxy {
  port: number;
  setMode(mode: ProxyMode): void;
  resetAll(): void;
  /** Drops all further bytes of the connections that are open now, without an end or a reset; new ones work. */
  silenceAll(): void;
  close(): void;
}

const DELAY_MS = 150;

/** Resets a socket, or destroys it if its writable side has ended: the handle would stay open after a reset. */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Starts a proxy to a loopback port. Leaving a mode that drops bytes for `Pass` resets the connections, which have lost data. */
export async function createProxy(targetPort: number): Promise<Proxy> {
  let mode: ProxyMode = ProxyMode.Pass;
  const pairs = new Set<Socket[]>();
  const silent = new WeakSet<Socket>();

  function isBlocked(direction: 'request' | 'answer'): boolean {
    return mode === ProxyMode.Silent || (mode === ProxyMode.OneWay && direction === 'answer');
  }

  function forward(from: Socket, to: Socket, direction: 'request' | 'answer'): void {
    let delayedCount = 0;
    let delayed = Promise.resolve();

    /** Runs `send` after the delay, and behind what is still delayed: a connection keeps the order of its bytes and its end. */
    function schedule(send: () => void): void {
      if (mode !== ProxyMode.Delay && delayedCount === 0) {
        send();
        return;
      }
      const due = mode === ProxyMode.Delay ? delay(DELAY_MS) : undefined;
      delayedCount += 1;
      delayed = delayed
        .then(() => due)
        .then(() => {
          delayedCount -= 1;
          send();
        });
    }

    from.on('data', (chunk) => {
      if (!isBlocked(direction))
        schedule(() => !silent.has(from) && to.writable && to.write(chunk));
    });
    from.on('end', () => {
      if (!isBlocked(direction)) schedule(() => !silent.has(from) && to.end());
    });
  }

  function destroyPair(pair: Socket[]): void {
    pairs.delete(pair);
    pair.forEach(resetSocket);
  }

  const server = createServer({ allowHalfOpen: true }, (client) => {
    if (mode === ProxyMode.Refuse) {
      client.resetAndDestroy();
      return;
    }
    const upstream = connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
    const pair = [client, upstream];
    pairs.add(pair);
    forward(client, upstream, 'request');
    forward(upstream, client, 'answer');
    pair.forEach((socket) => {
      socket.on('error', () => !silent.has(socket) && destroyPair(pair));
      socket.on('close', (failed) => {
        if (failed && !silent.has(socket)) destroyPair(pair);
        else if (pair.every(({ destroyed }) => destroyed)) pairs.delete(pair);
      });
    });
  });
  const port = await listenOn(server, { host: '127.0.0.1', port: 0 });

  return {
    port,
    setMode(next) {
      const hasDroppedBytes = mode === ProxyMode.Silent || mode === ProxyMode.OneWay;
      mode = next;
      if (hasDroppedBytes && next === ProxyMode.Pass) [...pairs].forEach(destroyPair);
    },
    resetAll: () => [...pairs].forEach(destroyPair),
    silenceAll: () => [...pairs].flat().forEach((socket) => silent.add(socket)),
    close() {
      server.close();
      [...pairs].forEach(destroyPair);
    },
  };
}
