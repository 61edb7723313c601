/** HTTP server with connection teardown. */
import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { closeServer, listenOn } from '@kingcupsill/runtime';

/** Listen address of a stand-in. */
export interface ListenOptions {
  /** @default '127.0.0.1' */
  host?: string;
  /** Port number; 0 selects a free port. @default 0 */
  port?: number;
}

/** A listening HTTP server. */
export interface HttpServer {
  port: number;
  url: string;
  /** Destroys every open connection; the server continues to listen. */
  destroyConnections(): void;
  /** Stops listening and destroys every open connection. */
  close(): Promise<void>;
}

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Starts an HTTP server and resolves once it listens; rejects if the address is in use. */
export const createHttpServer = async (
  listener: RequestListener,
  { host = '127.0.0.1', port = 0 }: ListenOptions,
): Promise<HttpServer> => {
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true }, listener);
  const boundPort = await listenOn(server, { host, port });

  return {
    port: boundPort,
    url: `http://${host}:${boundPort}`,
    destroyConnections: () => server.closeAllConnections(),
    close: () => closeServer(server),
  };
};
