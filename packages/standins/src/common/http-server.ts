/** Listening HTTP server. */
import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { closeServer, listenOn } from '@kingcupsill/runtime';

/** Where a stand-in listens. */
export interface ListenOptions {
  /** @default '127.0.0.1' */
  host?: string;
  /** 0 takes a free port. @default 0 */
  port?: number;
}

/** A listening HTTP server. */
export interface HttpServer {
  port: number;
  url: string;
  /** Destroys every open connection; the server goes on listening. */
  destroyConnections(): void;
  /** Stops listening and destroys every open connection. */
  close(): Promise<void>;
}

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Starts an HTTP server and resolves when it listens; rejects when the address is taken. */
export const createHttpServer = async (
  listener: RequestListener,
  { host = '127.0.0.1', port = 0 }: ListenOptions,
): Promise<HttpServer> => {
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true }, listener);
  const bound = await listenOn(server, { host, port });

  return {
    port: bound,
    url: `http://${host}:${bound}`,
    destroyConnections: () => server.closeAllConnections(),
    close: () => closeServer(server),
  };
};
