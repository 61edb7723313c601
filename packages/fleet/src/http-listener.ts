/** Listens for HTTP and closes for good. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A listening HTTP server. */
export interface HttpListener {
  port: number;
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
    server.once('error', reject);
    server.once('listening', () => {
      const { port: actualPort } = server.address() as AddressInfo;
      resolve({ port: actualPort, close: () => closeServer(server) });
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
