/** Guards against requests that wait for their deadlines on connections to servers that have gone silent. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { PATIENT, waitUntil, withDeployment } from '../standins/deployment.js';
import { sendAnswer, signedHeaders } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

/** Server whose connections go silent; new ones work. */
function createSilencingServer() {
  const silent = new WeakSet<Socket>();
  const arrivals: Arrival[] = [];
  return {
    arrivals,
    handle(arrival: Arrival): void {
      arrivals.push(arrival);
      if (!silent.has(arrival.req.socket)) sendAnswer(arrival);
    },
    silenceAll: () => arrivals.forEach(({ req }) => silent.add(req.socket)),
    countRuns: (path: string) => arrivals.filter(({ req }) => req.url === path).length,
  };
}

test('a request that may be repeated goes on over a new connection, any other one is left to wait', async () => {
  const server = createSilencingServer();
  await withDeployment([server.handle], async (deployment) => {
    await deployment.changeRoutes(PATIENT);
    const { call, logLines } = deployment;
    // Two connections are kept; the router learns how long answers take.
    for (let index = 0; index < 3; index += 1)
      await Promise.all([call('/any/0'), call('/once/0', { method: 'POST' })]);
    server.silenceAll();
    const answers = [call('/once/silent', { method: 'POST' }), call('/any/silent')];
    await waitUntil(() => server.countRuns('/once/silent') + server.countRuns('/any/silent') === 2);
    assert.equal((await call('/any/later')).status, 200);
    const startedAtMs = performance.now();
    const [unsafe, repeated] = [answers[0]!, await answers[1]!];
    const tookMs = performance.now() - startedAtMs;
    assert.equal(repeated.status, 200);
    assert.ok(tookMs < 2000, `answered after ${tookMs} ms`);
    assert.equal((await unsafe).status, 504);
    assert.equal(server.countRuns('/once/silent'), 1);
    assert.equal(server.countRuns('/any/silent'), 2);
    const silences = logLines.filter(({ event }) => event === 'server-connection-silent');
    assert.equal(silences.length, 2);
  });
});

// Guards against streams that are broken off at their deadlines, with events of their servers lost on the way.
test('a stream whose connection goes silent goes on behind its last event over a new connection', async () => {
  const begun: Arrival[] = [];
  const handle = (arrival: Arrival): void => {
    const { res, header } = arrival;
    begun.push(arrival);
    res.writeHead(200, signedHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
    const writeEvent = (id: number) => res.write(`id: ${id}\n\n`);
    if (header('last-event-id') !== undefined) {
      [3, 4].forEach(writeEvent);
      res.end();
      return;
    }
    [1, 2].forEach(writeEvent);
    // The connection of the first stream delivers no more.
    if (begun.length === 1) return;
    let lastId = 2;
    const timer = setInterval(() => {
      lastId += 1;
      writeEvent(lastId);
    }, 50);
    res.on('close', () => clearInterval(timer));
  };
  await withDeployment([handle], async (deployment) => {
    await deployment.changeRoutes(PATIENT);
    const { call } = deployment;
    const silent = call('/stream/1', { method: 'POST' });
    await waitUntil(() => begun.length === 1);
    const other = call('/stream/2', { method: 'POST', abortAfterMs: 3000 }).catch(() => undefined);
    const { status, complete, body } = await silent;
    assert.deepEqual([status, complete], [200, true]);
    assert.equal(body, 'id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n');
    assert.equal(begun[2]!.header('last-event-id'), '2');
    await other;
  });
});
