/** Listens for HTTP and closes for good. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { closeServer } from '@kingcupsill/runtime';

/** A listening HTTP server. */
export interface HttpListener {
  port: number;
  /** Resolves when the answers now on their way have been sent, to slow readers too. */
  waitForIdle(): Promise<void>;
  /** Stops listening and ends open connections. */
  close(): Promise<void>;
}

/** Anything that can listen as koa applications do. */
export interface Listenable {
  listen(port: number, host: string): Server;
}

/** Listens on `host:port`; port 0 takes a free one. Rejects when the address can't be had. */
export function listenHttp(app: Listenable, host: string, port: number): Promise<HttpListener> {
  return new Promise((resolve, reject) => {
    const server = app.listen(port, host);
    const waitForIdle = watchAnswers(server);
    server.once('error', reject);
    server.once('listening', () => {
      const { port: actualPort } = server.address() as AddressInfo;
      resolve({ port: actualPort, waitForIdle, close: () => closeServer(server) });
    });
  });
}

/** Returns a function that waits for the answers that are on their way at its call. */
function watchAnswers(server: Server): () => Promise<void> {
  const open = new Map<ServerResponse, Promise<void>>();
  server.on('request', (_req: IncomingMessage, res: ServerResponse) => {
    const closed = new Promise<void>((resolve) => {
      res.once('close', () => {
        open.delete(res);
        resolve();
      });
    });
    open.set(res, closed);
  });
  return async () => {
    await Promise.all(open.values());
  };
}
