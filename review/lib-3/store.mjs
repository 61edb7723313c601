/* eslint-disable import-x/extensions, no-restricted-syntax, no-use-before-define -- a plain script that runs without a build */
/** Stand-in of the platform's store: objects by kind with one revision counter, paged listings, watches and conditional writes. */
import { createServer } from 'node:http';
import { listen } from './net.mjs';

const PAGE_ENTRIES = 500;
const PAGE_BYTES = 1024 * 1024;
export const VALUE_BYTES = 1024 * 1024;

function send(res, status, text) {
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}

async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** Starts a store on a free port of a loopback address. */
export async function startStore() {
  const kinds = new Map();
  const changes = [];
  const watches = new Set();
  let revision = 1;
  const objectsOf = (kind) => kinds.get(kind) ?? kinds.set(kind, new Map()).get(kind);
  const textOf = (object) => JSON.stringify(object);

  function record(kind, object, deleted) {
    changes.push({ kind, revision, text: `{"deleted":${deleted},"object":${textOf(object)}}` });
    [...watches].forEach((wake) => wake());
  }

  /** Writes an object as the operator or a server does. Returns the time of the acknowledgement. */
  function put(kind, name, spec) {
    const objects = objectsOf(kind);
    const before = objects.get(name);
    if (JSON.stringify(spec).length > VALUE_BYTES) throw new Error(`${name} is too large`);
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return before;
    revision += 1;
    const created = before?.metadata.created ?? revision;
    const metadata = { name, revision, created, finalizers: [], deletionPending: false };
    const object = { metadata, spec, status: null };
    objects.set(name, object);
    record(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (object === undefined) return undefined;
    revision += 1;
    objectsOf(kind).delete(name);
    record(kind, object, true);
    return object;
  }

  function list(res, kind, after) {
    const rest = [...objectsOf(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const texts = [];
    let bytes = 0;
    for (const object of rest) {
      const text = textOf(object);
      if (texts.length >= PAGE_ENTRIES || (texts.length > 0 && bytes + text.length > PAGE_BYTES))
        break;
      texts.push(text);
      bytes += text.length;
    }
    const hasMore = texts.length < rest.length;
    send(res, 200, `{"entries":[${texts.join(',')}],"hasMore":${hasMore},"at":${revision}}`);
  }

  async function watch(req, res, kind, after, waitMs) {
    const find = () => changes.filter((change) => change.kind === kind && change.revision > after);
    if (find().length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(finish, waitMs);
        function finish() {
          clearTimeout(timer);
          watches.delete(wake);
          req.socket.removeListener('close', finish);
          resolve();
        }
        function wake() {
          if (find().length > 0) finish();
        }
        watches.add(wake);
        req.socket.once('close', finish);
      });
    }
    const texts = find().map(({ text }) => text);
    send(res, 200, `{"events":[${texts.join(',')}],"at":${revision}}`);
  }

  async function write(req, res, kind, name, query) {
    const stated = query.get('revision');
    if (req.method === 'DELETE') {
      const found = objectsOf(kind).get(name);
      if (found === undefined) return send(res, 404, '{}');
      if (stated !== null && Number(stated) !== found.metadata.revision)
        return send(res, 409, textOf(found));
      return send(res, 200, textOf(remove(kind, name)));
    }
    const body = await readJson(req);
    const id = name ?? body.metadata.name;
    const found = objectsOf(kind).get(id);
    if (req.method === 'POST' && found !== undefined) return send(res, 409, textOf(found));
    if (req.method === 'PUT') {
      if (found === undefined) return send(res, 404, '{}');
      const expected = body.metadata?.revision;
      if (expected !== undefined && expected !== found.metadata.revision)
        return send(res, 409, textOf(found));
    }
    return send(res, 200, textOf(put(kind, id, body.spec)));
  }

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    const [, , kind, encoded] = url.pathname.split('/');
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    const query = url.searchParams;
    if (req.method !== 'GET') write(req, res, kind, name, query);
    else if (query.has('watch'))
      watch(req, res, kind, Number(query.get('watch')), Number(query.get('waitMs') ?? 0));
    else if (name === undefined) list(res, kind, query.get('afterRevision') ?? '');
    else {
      const object = objectsOf(kind).get(name);
      send(res, object === undefined ? 404 : 200, object === undefined ? '{}' : textOf(object));
    }
  });
  const address = await listen(server);
  return {
    address,
    put,
    remove,
    names: (kind) => [...objectsOf(kind).keys()],
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
