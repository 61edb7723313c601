/** Listening and closing of servers. */
import type { Server as HttpServer } from 'node:http';
import type { AddressInfo, Server } from 'node:net';

/** Where a server listens. */
export interface ListenOptions {
  host: string;
  /** 0 takes a free port. */
  port: number;
  /** Connections that wait to be accepted. @default Node's own */
  backlog?: number;
}

/** Resolves with the port when the server listens; rejects when the address can't be had. */
export async function listenOn(server: Server, address: ListenOptions): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Stops listening and ends open connections; resolves when all have ended. */
export function closeServer(server: HttpServer): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
