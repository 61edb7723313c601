/** HTTP listener with graceful shutdown. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterNextPoll, closeServer } from '@kingcupsill/runtime';

/** Listening HTTP server. */
export interface HttpListener {
  /** Port on which the server listens. */
  port: number;
  /** Resolves when every response open at the time of the call has been sent in full or its connection has closed. */
  waitForIdle(): Promise<void>;
  /** Stops listening and closes open connections. */
  close(): Promise<void>;
}

/** Koa application, or any other object with the same `listen` method. */
export interface Listenable {
  listen(port: number, host: string): Server;
}

/** Listens on `host:port`, where port 0 selects a free port. Rejects if the address can't be bound. */
export function listenHttp(app: Listenable, host: string, port: number): Promise<HttpListener> {
  return new Promise((resolve, reject) => {
    const server = app.listen(port, host);
    const waitForIdle = trackOpenResponses(server);
    server.on('timeout', closeUnlessUsed);
    server.once('error', reject);
    server.once('listening', () => {
      const { port: boundPort } = server.address() as AddressInfo;
      resolve({ port: boundPort, waitForIdle, close: () => closeServer(server) });
    });
  });
}

/** Closes a connection at its idle timeout, unless a request has arrived on it that wasn't read before, as after a pause. */
function closeUnlessUsed(socket: Socket): void {
  const { bytesRead } = socket;
  afterNextPoll(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/** Returns a function that waits for the responses open at the time of its call. */
function trackOpenResponses(server: Server): () => Promise<void> {
  const openResponses = new Map<ServerResponse, Promise<void>>();
  server.on('request', (_req: IncomingMessage, res: ServerResponse) => {
    const closed = new Promise<void>((resolve) => {
      res.once('close', () => {
        openResponses.delete(res);
        resolve();
      });
    });
    openResponses.set(res, closed);
  });
  return async () => {
    await Promise.all(openResponses.values());
  };
}
