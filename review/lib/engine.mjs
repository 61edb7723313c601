/**
 * Stand-in of an engine (PROTOCOL.md, "Engines"): runs a request that names it in `Target-Instance`, answers 421 to others, echoes
 * `Attempt-Id` and signs its answer. `behaviour(run, socket)` may replace the sound answer of one request.
 */
import { createServer } from 'node:http';

/** Events of a stream. */
export const EVENTS = 10;

/** Starts an engine on a free port of `host`. `note` writes a line of the record. */
export async function startEngine({
  id,
  service,
  zone,
  host,
  workMs = 20,
  streaming = false,
  note,
  behaviour,
}) {
  const runs = [];
  const arrivals = [];

  function answerWhole(res, run) {
    const body = Buffer.from(JSON.stringify({ ran: run.attemptId, at: id }));
    res.writeHead(200, {
      'Attempt-Id': run.attemptId,
      'Response-Signature': `${id}.${run.attemptId}`,
      'Content-Length': body.length,
    });
    res.end(body);
  }

  /** Sends the events of a stream after `Last-Event-Id`, in chunks; the last one closes the answer. */
  function answerEvents(req, res, run) {
    let next = Number(req.headers['last-event-id'] ?? 0) + 1;
    res.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': run.attemptId,
      'Response-Signature': `${id}.${run.attemptId}`,
    });
    const timer = setInterval(() => {
      if (next <= EVENTS) res.write(`id: ${next}\ndata: piece ${next}\n\n`);
      next += 1;
      if (next <= EVENTS) return;
      clearInterval(timer);
      res.end();
    }, workMs);
    res.on('close', () => clearInterval(timer));
  }

  function startRun(req) {
    const run = {
      attemptId: req.headers['attempt-id'],
      tenant: req.headers.tenant,
      path: req.url,
      method: req.method,
      engine: id,
      service,
      atMs: performance.now(),
    };
    runs.push(run);
    note(`engine ${id} (${service}) runs ${run.attemptId} ${run.path} tenant ${run.tenant}`);
    return run;
  }

  const server = createServer((req, res) => {
    if (req.url === '/kv-list') {
      res.writeHead(200, { 'Content-Type': 'application/json' });
      res.end('{"epoch":1,"nextToken":0,"held":[]}');
      return;
    }
    if (req.url === '/healthz') {
      res.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 });
      res.end();
      return;
    }
    if (req.headers['target-instance'] !== undefined && req.headers['target-instance'] !== id) {
      res.writeHead(421, { 'Instance-Id': id, 'Content-Length': 0 });
      res.end();
      return;
    }
    arrivals.push({ attemptId: req.headers['attempt-id'], atMs: performance.now() });
    if (behaviour?.({ req, res, startRun, answerWhole, answerEvents }) === true) return;
    req.resume();
    req.on('end', () => {
      const run = startRun(req);
      if (streaming) answerEvents(req, res, run);
      else setTimeout(() => answerWhole(res, run), workMs);
    });
  });
  server.keepAliveTimeout = 20_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const address = `${host}:${server.address().port}`;
  return {
    id,
    address,
    runs,
    arrivals,
    entry: (slots) => ({
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      phase: 'mixed',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: 1,
      born: 1_760_000_000_000,
    }),
    async close() {
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
