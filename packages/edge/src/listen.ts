/** Listening on an address. */
import type { Server } from 'node:net';

/**
 * Connections that wait to be accepted. The event loop accepts one in each turn, so on a busy processor a long queue only ages:
 * its callers have left before they are read. What doesn't fit goes to another router within a second.
 */
const BACKLOG = 50;

/** Resolves when the server listens; rejects when it can't. */
export function listenOn(server: Server, address: { host: string; port: number }): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, BACKLOG, resolve);
  });
}
