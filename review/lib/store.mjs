/* eslint-disable import-x/prefer-default-export, no-restricted-syntax -- off for .ts files too */
/**
 * Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"): objects by kind and name, paged lists,
 * watches, conditional writes, one revision counter. The test acts as the operator and as the engines through `put` and `remove`;
 * all that it acknowledges is kept, and all answers are linearizable.
 */
import { createServer } from 'node:http';
import { isDeepStrictEqual } from 'node:util';

const PAGE_ENTRIES = 500;

function send(res, status, body) {
  const bytes = Buffer.from(JSON.stringify(body));
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length });
  res.end(bytes);
}

async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** Starts the store on a free port of `host`. `onCall` gets each call with its status, for the record. */
export async function startStore(host, onCall = () => undefined) {
  const kinds = new Map();
  const watches = new Set();
  let changes = [];
  let revision = 1;
  /** Watches from a revision below this one get 410. */
  let historyFrom = 1;
  /** Revision at the start of a compaction; undefined while there is none. */
  let heldAt;

  function objectsOf(kind) {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  }

  function record(kind, object, deleted) {
    changes.push({ kind, revision, event: { object, deleted } });
    [...watches].forEach((watch) => watch.check());
  }

  function put(kind, name, spec) {
    const known = objectsOf(kind).get(name);
    if (known !== undefined && isDeepStrictEqual(known.spec, spec)) return known;
    revision += 1;
    const object = {
      metadata: {
        name,
        revision,
        created: known?.metadata.created ?? revision,
        finalizers: [],
        deletionPending: false,
      },
      spec,
      status: null,
    };
    objectsOf(kind).set(name, object);
    record(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (object === undefined) return false;
    revision += 1;
    objectsOf(kind).delete(name);
    record(kind, object, true);
    return true;
  }

  function list(res, kind, after) {
    const rest = [...objectsOf(kind).values()]
      .filter(({ metadata }) => after === null || metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    send(res, 200, {
      entries: rest.slice(0, PAGE_ENTRIES),
      hasMore: rest.length > PAGE_ENTRIES,
      at: revision,
    });
  }

  function startWatch(req, res, kind, from, waitMs) {
    const watch = {
      kind,
      cut() {
        watches.delete(watch);
        clearTimeout(watch.timer);
        res.destroy();
      },
      answer() {
        watches.delete(watch);
        clearTimeout(watch.timer);
        if (from < historyFrom) {
          onCall({ kind, call: 'watch', from, status: 410 });
          send(res, 410, { error: 'history gone' });
          return;
        }
        const until = heldAt ?? revision;
        const events = changes
          .filter((change) => change.kind === kind && change.revision > from)
          .filter((change) => change.revision <= until)
          .map(({ event }) => event);
        send(res, 200, { events, at: until });
      },
      check() {
        if (heldAt !== undefined) return;
        const isDue =
          from < historyFrom ||
          changes.some((change) => change.kind === kind && change.revision > from);
        if (isDue) watch.answer();
      },
      timer: setTimeout(() => watch.answer(), waitMs),
    };
    watches.add(watch);
    res.on('close', () => {
      watches.delete(watch);
      clearTimeout(watch.timer);
    });
    watch.check();
  }

  async function write(req, res, kind, name, query) {
    if (req.method === 'DELETE') {
      const known = objectsOf(kind).get(name);
      if (known === undefined) return send(res, 404, { error: 'absent' });
      const condition = query.get('revision');
      if (condition !== null && Number(condition) !== known.metadata.revision)
        return send(res, 409, known);
      remove(kind, name);
      return send(res, 200, known);
    }
    const body = await readJson(req);
    const target = name ?? body.metadata.name;
    const known = objectsOf(kind).get(target);
    if (req.method === 'POST') {
      if (known !== undefined) return send(res, 409, known);
      return send(res, 200, put(kind, target, body.spec));
    }
    if (known === undefined) return send(res, 404, { error: 'absent' });
    const condition = body.metadata?.revision;
    if (condition !== undefined && condition !== known.metadata.revision)
      return send(res, 409, known);
    return send(res, 200, put(kind, target, body.spec));
  }

  function handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const [, root, kind, rawName] = url.pathname.split('/');
    const name = rawName === undefined ? undefined : decodeURIComponent(rawName);
    const query = url.searchParams;
    if (root !== 'objects' || kind === undefined) return send(res, 404, { error: 'path' });
    if (req.method !== 'GET') return write(req, res, kind, name, query);
    if (query.has('watch')) {
      const waitMs = Math.min(30_000, Number(query.get('waitMs') ?? 0));
      return startWatch(req, res, kind, Number(query.get('watch')), waitMs);
    }
    if (name === undefined) {
      onCall({ kind, call: 'list', status: 200 });
      return list(res, kind, query.get('afterRevision'));
    }
    const object = objectsOf(kind).get(name);
    return send(res, object === undefined ? 404 : 200, object ?? { error: 'absent' });
  }

  const server = createServer((req, res) => {
    Promise.resolve(handle(req, res)).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    names: (kind) => [...objectsOf(kind).keys()],
    revision: () => revision,
    /** From now on, watches hear nothing; one that ends gets the position from before. */
    startCompaction() {
      heldAt = revision;
    },
    /** Drops the history and cuts the waiting watches. */
    endCompaction() {
      heldAt = undefined;
      historyFrom = revision;
      changes = [];
      [...watches].forEach((watch) => watch.cut());
    },
    async close() {
      [...watches].forEach((watch) => watch.cut());
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
