/* eslint-disable import-x/prefer-default-export, no-use-before-define, no-void -- a plain script that runs without a build */
/** Stand-in of the platform's store: objects by kind, listings, watches, and writes under a condition. */
import { createServer } from 'node:http';

function readBody(req) {
  return new Promise((resolve) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
  });
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Starts the store on a free loopback port. */
export async function startStore() {
  const kinds = new Map();
  const watches = new Set();
  const changes = [];
  const state = { revision: 1 };
  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  function record(kind, object, deleted) {
    changes.push({ kind, revision: state.revision, event: { object, deleted } });
    [...watches].forEach((wake) => wake());
  }

  function put(kind, name, spec) {
    const known = objectsOf(kind).get(name);
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    state.revision += 1;
    const metadata = {
      name,
      revision: state.revision,
      created: known?.metadata.created ?? state.revision,
      finalizers: [],
      deletionPending: false,
    };
    const object = { metadata, spec, status: known?.status ?? null };
    objectsOf(kind).set(name, object);
    record(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (object === undefined) return false;
    state.revision += 1;
    objectsOf(kind).delete(name);
    record(kind, object, true);
    return true;
  }

  async function watch(res, kind, from, waitMs) {
    const find = () => changes.filter((c) => c.kind === kind && c.revision > from);
    if (find().length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          watches.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        watches.add(finish);
      });
    }
    sendJson(res, 200, { events: find().map(({ event }) => event), at: state.revision });
  }

  function list(res, kind, after) {
    const entries = [...objectsOf(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const page = entries.slice(0, 500);
    sendJson(res, 200, {
      entries: page,
      hasMore: page.length < entries.length,
      at: state.revision,
    });
  }

  async function write(req, res, kind, name, query) {
    if (req.method === 'DELETE') {
      const known = objectsOf(kind).get(name);
      const revision = query.get('revision');
      if (known === undefined) sendJson(res, 404, {});
      else if (revision !== null && Number(revision) !== known.metadata.revision)
        sendJson(res, 409, known);
      else {
        remove(kind, name);
        sendJson(res, 200, known);
      }
      return;
    }
    const body = JSON.parse(await readBody(req));
    const target = name ?? body.metadata.name;
    const known = objectsOf(kind).get(target);
    const { revision } = body.metadata ?? {};
    if (req.method === 'POST' && known !== undefined) sendJson(res, 409, known);
    else if (req.method === 'PUT' && known === undefined) sendJson(res, 404, {});
    else if (req.method === 'PUT' && revision !== undefined && revision !== known.metadata.revision)
      sendJson(res, 409, known);
    else sendJson(res, 200, put(kind, target, body.spec));
  }

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    const [, , kind, rawName] = url.pathname.split('/');
    const name = rawName === undefined ? undefined : decodeURIComponent(rawName);
    const query = url.searchParams;
    if (req.method !== 'GET') void write(req, res, kind, name, query);
    else if (name !== undefined) {
      const object = objectsOf(kind).get(name);
      sendJson(res, object === undefined ? 404 : 200, object ?? {});
    } else if (query.has('watch'))
      void watch(res, kind, Number(query.get('watch')), Number(query.get('waitMs') ?? 0));
    else list(res, kind, query.get('afterRevision') ?? '');
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    put,
    remove,
    listNames: (kind) => [...objectsOf(kind).keys()],
    close() {
      server.close();
      server.closeAllConnections();
      [...watches].forEach((wake) => wake());
    },
  };
}
