/** Listening on an address. */
import type { Server } from 'node:net';

/** Connections that wait to be accepted: a burst of callers arrives within one turn of the loop. */
const BACKLOG = 1024;

/** Resolves when the server listens; rejects when it can't. */
export function listenOn(server: Server, address: { host: string; port: number }): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, BACKLOG, resolve);
  });
}
