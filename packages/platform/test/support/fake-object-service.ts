/** HTTP object service on loopback for tests, with the interface in docs/ARCHITECTURE.md and optional faults. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Entry {
  version: number;
  body: Buffer;
}

export interface ObjectServiceFaults {
  /** Status of every response; calls then have no effect. */
  status?: number;
  /** Number of next writes that take effect and whose responses are lost. */
  lostResponses: number;
  /** Number of next writes whose connection is closed before they take effect. */
  lostRequests: number;
}

export interface FakeObjectService {
  url: string;
  faults: ObjectServiceFaults;
  /** `METHOD path` of each call, in order. */
  calls: string[];
  objects: Map<string, Entry>;
  close(): Promise<void>;
}

const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

const etag = (version: number) => ({ etag: `"${version}"` });

export const startFakeObjectService = async (): Promise<FakeObjectService> => {
  const objects = new Map<string, Entry>();
  const faults: ObjectServiceFaults = { lostResponses: 0, lostRequests: 0 };
  const calls: string[] = [];
  const changes: { key: string; version: number; deleted: boolean }[] = [];
  const waiters = new Set<() => void>();
  let version = 0;

  const conditionHolds = (req: IncomingMessage, entry: Entry | undefined): boolean => {
    const ifMatch = req.headers['if-match'];
    if (ifMatch !== undefined) return entry !== undefined && ifMatch === `"${entry.version}"`;
    return req.headers['if-none-match'] === undefined || entry === undefined;
  };

  const applyChange = (key: string, body: Buffer | undefined): void => {
    version += 1;
    if (body === undefined) objects.delete(key);
    else objects.set(key, { version, body });
    changes.push({ key, version, deleted: body === undefined });
    waiters.forEach((wake) => wake());
  };

  const write = async (req: IncomingMessage, res: ServerResponse, key: string): Promise<void> => {
    const body = await readBody(req);
    if (faults.lostRequests > 0) {
      faults.lostRequests -= 1;
      req.socket.destroy();
      return;
    }
    const entry = objects.get(key);
    const isRemoval = req.method === 'DELETE';
    let status = isRemoval ? 204 : 200;
    if (isRemoval && entry === undefined) status = 404;
    else if (!conditionHolds(req, entry)) status = 412;
    else if (body.length > 1024 * 1024) status = 413;
    else applyChange(key, isRemoval ? undefined : body);
    if (faults.lostResponses > 0) {
      faults.lostResponses -= 1;
      req.socket.destroy();
      return;
    }
    const current = objects.get(key);
    res.writeHead(status, current === undefined ? {} : etag(current.version)).end();
  };

  const watch = async (res: ServerResponse, query: URLSearchParams): Promise<void> => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const findPendingEvents = () =>
      changes.filter((e) => e.version > after && e.key.startsWith(prefix));
    if (findPendingEvents().length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, Number(query.get('timeoutMs')));
        const wake = () => {
          if (findPendingEvents().length === 0) return;
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        waiters.add(wake);
      });
    }
    res.end(JSON.stringify({ version, events: findPendingEvents() }));
  };

  const list = (res: ServerResponse, prefix: string): void => {
    const listed = [...objects]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, entry]) => ({ key, version: entry.version }));
    res.end(JSON.stringify({ version, objects: listed }));
  };

  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const url = new URL(req.url ?? '/', 'http://fake');
    calls.push(`${req.method} ${url.pathname}`);
    if (faults.status !== undefined) {
      res.writeHead(faults.status, { 'retry-after': '0.01' }).end('fault');
      return;
    }
    if (url.pathname === '/v1/watch') {
      await watch(res, url.searchParams);
      return;
    }
    if (url.pathname === '/v1/objects') {
      list(res, url.searchParams.get('prefix') ?? '');
      return;
    }
    const key = decodeURIComponent(url.pathname.replace('/v1/objects/', ''));
    if (req.method !== 'GET') {
      await write(req, res, key);
      return;
    }
    const entry = objects.get(key);
    if (entry === undefined) res.writeHead(404).end();
    else res.writeHead(200, etag(entry.version)).end(entry.body);
  };

  const server = createServer((req, res) => {
    void handle(req, res);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    faults,
    calls,
    objects,
    close: async () => {
      server.closeAllConnections();
      server.close();
      await once(server, 'close');
    },
  };
};
