/** Helpers to start and close servers. */
import type { Server as HttpServer } from 'node:http';
import type { AddressInfo, Server } from 'node:net';

/** Options of `listenOn`. */
export interface ListenOptions {
  host: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  /** Maximum number of connections waiting to be accepted. @default Node's default */
  backlog?: number;
  /** Called with each error after the start, such as one of accepting a connection; without it these errors are uncaught. */
  onError?: (err: Error) => void;
}

/** Starts listening. Resolves with the bound port; rejects if the server can't listen on the address. */
export async function listenOn(server: Server, options: ListenOptions): Promise<number> {
  const { onError, ...address } = options;
  await new Promise<void>((resolve, reject) => {
    function onListening(): void {
      server.off('error', onStartError);
      if (onError !== undefined) server.on('error', onError);
      resolve();
    }
    function onStartError(err: Error): void {
      server.off('listening', onListening);
      reject(err);
    }
    server.once('error', onStartError);
    server.once('listening', onListening);
    server.listen(address);
  });
  return (server.address() as AddressInfo).port;
}

/** Stops listening and destroys open connections. Resolves when all connections have closed. */
export function closeServer(server: HttpServer): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
