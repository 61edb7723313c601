/* eslint-disable import-x/extensions, import-x/prefer-default-export -- a plain script that runs without a build */
/** Stand-in of an engine: an application server or a model engine that sends events. It keeps to the page on engines. */
import { createServer } from 'node:http';
import { delay, listen } from './net.mjs';

const HEARTBEAT_MS = 1200;

/**
 * Starts an engine and registers it in the store.
 * @param options.run answers a request of which the whole body has been received; by default a short answer after `workMs`
 * @param options.onRun called when the engine begins to work on a request
 */
export async function startEngine({ id, service, zone = 'kgn-a', slots = 64, store, ...options }) {
  const { workMs = 20, onRun = () => undefined } = options;
  let state = 'ready';
  let isGone = false;
  let sequence = 0;
  const born = Date.now();
  function signature(req) {
    return { 'Attempt-Id': req.headers['attempt-id'] ?? 'none', 'Response-Signature': `sig-${id}` };
  }

  function answer(req, res, text) {
    if (res.destroyed) return;
    const closing = state === 'draining' ? { Connection: 'close' } : {};
    const length = { 'Content-Length': Buffer.byteLength(text) };
    res.writeHead(200, { ...signature(req), ...length, ...closing });
    res.end(text);
  }

  const run =
    options.run ??
    (async (req, res) => {
      await delay(workMs);
      answer(req, res, 'done');
    });

  const server = createServer(
    { keepAliveTimeout: 30_000, maxHeaderSize: 64 * 1024 },
    (req, res) => {
      req.on('error', () => undefined);
      res.on('error', () => undefined);
      if (req.url === '/healthz') {
        res.writeHead(state === 'ready' ? 200 : 503, { 'Instance-Id': id }).end();
        return;
      }
      if (req.url.startsWith('/kv-list')) {
        res.writeHead(200, { 'Content-Type': 'application/json' });
        res.end(JSON.stringify({ epoch: 1, nextToken: 0, held: [] }));
        return;
      }
      const chunks = [];
      req.on('data', (chunk) => chunks.push(chunk));
      req.on('end', () => {
        const target = req.headers['target-instance'];
        if (target !== undefined && target !== id) {
          res.writeHead(421, { 'Instance-Id': id, 'Content-Length': 0 }).end();
          return;
        }
        onRun({ id, atMs: Date.now(), attemptId: req.headers['attempt-id'], state });
        run(req, res, { answer, signature, body: Buffer.concat(chunks) });
      });
    },
  );
  server.on('clientError', (_err, socket) => socket.destroy());
  const address = await listen(server);

  function beat() {
    if (isGone) return;
    sequence += 1;
    store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      coldLeftMs: 0,
      sequence,
      born,
      ...(options.entry ?? {}),
    });
  }

  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);

  function exit() {
    isGone = true;
    clearInterval(timer);
    store.remove('servers', id);
    server.close();
    server.closeAllConnections();
  }

  return {
    id,
    address,
    /** States that the engine leaves. Returns the time at which the store has accepted it. */
    drain() {
      state = 'draining';
      beat();
      return Date.now();
    },
    exit,
    close() {
      if (!isGone) exit();
    },
  };
}
