/** Answers the platform's readiness check. */
import { createServer } from 'node:http';
import { READINESS_PATH } from '@kingcupsill/prepared-platform';
import { closeServer, listenOn } from '@kingcupsill/runtime';
import type { Closable } from '../closable.js';

/** Kept connections of the platform's checks stay open between them. */
const KEEP_ALIVE_MS = 30_000;

/** Listens for readiness checks. */
export async function createReadinessServer(options: {
  host: string;
  port: number;
  isReady: () => boolean;
}): Promise<Closable> {
  const server = createServer((req, res) => {
    const known = req.url === READINESS_PATH;
    const status = options.isReady() ? 200 : 503;
    res.writeHead(known ? status : 404, { 'Content-Length': 0 });
    res.end();
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  await listenOn(server, { host: options.host, port: options.port });
  return { close: () => closeServer(server) };
}
