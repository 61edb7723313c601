/** Answers the platform's readiness check. */
import { createServer } from 'node:http';
import { READINESS_PATH } from '@kingcupsill/prepared-platform';

/** Listens for readiness checks. */
export async function createReadinessServer(options: {
  host: string;
  port: number;
  ready: () => boolean;
}): Promise<{ close(): void }> {
  const server = createServer((req, res) => {
    const known = req.url === READINESS_PATH;
    const status = options.ready() ? 200 : 503;
    res.writeHead(known ? status : 404, { 'Content-Length': 0 });
    res.end();
  });
  server.keepAliveTimeout = 30_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
