/** HTTP server for the platform's readiness checks. */
import { READINESS_PATH } from '@kingcupsill/prepared-platform';
import { closeServer } from '@kingcupsill/runtime';
import type { Logger } from '@kingcupsill/runtime';
import type { Closable } from '../closable.js';
import { listenWhenFree } from '../listen-when-free.js';
import { createSideServer } from '../side-server.js';

/** Long enough that the platform's connections stay open between two checks. */
const KEEP_ALIVE_MS = 30_000;

/** Starts the server. */
export async function createReadinessServer(options: {
  host: string;
  port: number;
  isReady: () => boolean;
  maxConnections: number;
  logger: Logger;
  stopping?: AbortSignal;
}): Promise<Closable> {
  const server = createSideServer({ ...options, listener: 'readiness' }, (req, res) => {
    const isReadinessPath = req.url === READINESS_PATH;
    const status = options.isReady() ? 200 : 503;
    res.writeHead(isReadinessPath ? status : 404, { 'Content-Length': 0 });
    res.end();
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  const { host, port, logger, stopping } = options;
  const policy = { listener: 'readiness', isRequired: true, logger, stopping };
  await listenWhenFree(server, { host, port, ...policy });
  return { close: () => closeServer(server) };
}
