/** Stand-in of the platform's store: objects by kind, paged listings, watches and simulated failures. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { listenOn } from '@kingcupsill/runtime';

interface StoredObject {
  metadata: { name: string; revision: number };
  spec: unknown;
}

interface Change {
  kind: string;
  revision: number;
  event: { object: StoredObject; deleted: boolean };
}

export interface StoreStandin {
  port: number;
  put(kind: string, name: string, spec: unknown): void;
  remove(kind: string, name: string): void;
  listNames(kind: string): string[];
  /** Resets all connections while the store is down. */
  setDown(down: boolean): void;
  /** Keeps a copy of all objects, for a later restore. */
  keepCopy(): void;
  /** Restores the copy: changes since then are lost, their revisions are given out again, and a new era begins. */
  restoreCopy(): void;
  /** Discards all recorded changes; watches from older revisions fail with status 410. */
  discardHistory(): void;
  close(): void;
}

const PAGE_SIZE = 2;

async function readBody(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}

export async function createStoreStandin(): Promise<StoreStandin> {
  const objectsByKind = new Map<string, Map<string, StoredObject>>();
  const pendingWatches = new Set<() => void>();
  let changes: Change[] = [];
  let oldestRevision = 0;
  let revision = 1;
  let era = 1;
  let down = false;
  let copy = { objects: new Map<string, Map<string, StoredObject>>(), revision: 1 };

  const objectsOf = (kind: string): Map<string, StoredObject> => {
    const objects = objectsByKind.get(kind) ?? new Map<string, StoredObject>();
    objectsByKind.set(kind, objects);
    return objects;
  };

  function recordChange(kind: string, object: StoredObject, deleted: boolean): void {
    changes.push({ kind, revision, event: { object, deleted } });
    [...pendingWatches].forEach((wake) => wake());
  }

  function put(kind: string, name: string, spec: unknown): StoredObject {
    revision += 1;
    const object = { metadata: { name, revision }, spec };
    objectsOf(kind).set(name, object);
    recordChange(kind, object, false);
    return object;
  }

  function remove(kind: string, name: string): void {
    const object = objectsOf(kind).get(name);
    if (object === undefined) return;
    revision += 1;
    objectsOf(kind).delete(name);
    recordChange(kind, object, true);
  }

  function list(res: ServerResponse, kind: string, after: string): void {
    const remaining = [...objectsOf(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    sendJson(res, 200, {
      entries: remaining.slice(0, PAGE_SIZE),
      hasMore: remaining.length > PAGE_SIZE,
      at: revision,
    });
  }

  async function watch(
    res: ServerResponse,
    kind: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<void> {
    const findChanges = () =>
      changes.filter((change) => change.kind === kind && change.revision > afterRevision);
    if (afterRevision < oldestRevision || afterRevision > revision) return sendJson(res, 410, {});
    if (findChanges().length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(finish, waitMs);
        // A watch that nobody waits for any more doesn't keep a test's process alive.
        timer.unref();
        function finish(): void {
          clearTimeout(timer);
          pendingWatches.delete(finish);
          resolve();
        }
        pendingWatches.add(finish);
      });
    }
    // The revision isn't known, or not any more.
    return afterRevision < oldestRevision || afterRevision > revision
      ? sendJson(res, 410, {})
      : sendJson(res, 200, { events: findChanges().map(({ event }) => event), at: revision });
  }

  async function write(
    req: IncomingMessage,
    res: ServerResponse,
    kind: string,
    name?: string,
  ): Promise<void> {
    if (req.method === 'DELETE') {
      remove(kind, name!);
      return sendJson(res, 200, {});
    }
    const body = JSON.parse(await readBody(req)) as StoredObject;
    const current = objectsOf(kind).get(body.metadata.name);
    const hasConflict =
      req.method === 'POST'
        ? current !== undefined
        : current?.metadata.revision !== body.metadata.revision;
    if (hasConflict) return sendJson(res, 409, current ?? {});
    return sendJson(res, 200, put(kind, body.metadata.name, body.spec));
  }

  const server = createServer((req, res) => {
    if (down) {
      req.socket.resetAndDestroy();
      return;
    }
    res.setHeader('Store-Era', String(era));
    const url = new URL(req.url!, 'http://store');
    const [, , kind, name] = url.pathname.split('/');
    const query = url.searchParams;
    if (req.method !== 'GET') void write(req, res, kind!, name);
    else if (query.has('watch')) {
      void watch(res, kind!, Number(query.get('watch')), Number(query.get('waitMs')));
    } else if (name !== undefined) {
      const object = objectsOf(kind!).get(decodeURIComponent(name));
      sendJson(res, object === undefined ? 404 : 200, object ?? {});
    } else list(res, kind!, query.get('afterRevision') ?? '');
  });
  const port = await listenOn(server, { host: '127.0.0.1', port: 0 });

  return {
    port,
    put(kind, name, spec) {
      put(kind, name, spec);
    },
    remove,
    listNames: (kind) => [...objectsOf(kind).keys()],
    setDown(next) {
      down = next;
      if (down) server.closeAllConnections();
    },
    keepCopy() {
      const objects = [...objectsByKind].map(
        ([kind, byName]): [string, Map<string, StoredObject>] => [kind, new Map(byName)],
      );
      copy = { objects: new Map(objects), revision };
    },
    restoreCopy() {
      objectsByKind.clear();
      copy.objects.forEach((objects, kind) => objectsByKind.set(kind, new Map(objects)));
      revision = copy.revision;
      changes = changes.filter((change) => change.revision <= revision);
      era += 1;
      // Connections break while the store is away.
      server.closeAllConnections();
    },
    discardHistory() {
      oldestRevision = revision;
      changes = [];
      [...pendingWatches].forEach((wake) => wake());
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
