/** Guards against requests that are aborted by a router's shutdown. */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { createAcceptQueue } from '../../src/callers/accept-queue.js';
import { createCallerServer } from '../../src/callers/caller-server.js';
import { createDeployment, waitUntil } from '../standins/deployment.js';
import { findFreePort } from '../standins/free-port.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import { sendAnswer, signedHeaders } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

test('reports not ready while draining, serves late requests and completes open ones', async () => {
  const openArrivals: Arrival[] = [];
  const deployment = await createDeployment([
    (arrival) => {
      if (arrival.req.url === '/stream/1') openArrivals.push(arrival);
      else sendAnswer(arrival);
    },
  ]);
  try {
    const { call, isReady, router } = deployment;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    assert.equal((await call('/any/1', { agent })).headers.connection, 'keep-alive');
    const stream = call('/stream/1', { method: 'POST' });
    await waitUntil(() => openArrivals.length === 1);
    const draining = router.drain();
    assert.equal(await isReady(), false);
    const lateAnswer = await call('/any/2', { agent });
    assert.deepEqual([lateAnswer.status, lateAnswer.headers.connection], [200, 'close']);
    const { res } = openArrivals[0]!;
    res.writeHead(200, signedHeaders(openArrivals[0]!, { 'Content-Type': 'text/event-stream' }));
    res.write('id: 1\n\n');
    setTimeout(() => res.end('id: 2\n\n'), 3500);
    const answer = await stream;
    assert.deepEqual([answer.complete, answer.body], [true, 'id: 1\n\nid: 2\n\n']);
    await draining;
  } finally {
    await deployment.close();
  }
});

test('a request that arrives on a kept connection after the router has stopped listening is refused as not run', async () => {
  const answers: (() => void)[] = [];
  const deployment = await createDeployment([(arrival) => answers.push(() => sendAnswer(arrival))]);
  const [host, port] = deployment.settings.callers.address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  const write = (id: string) =>
    socket.write(
      `POST /once/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: ${id}\r\nCredential: key-1\r\nContent-Length: 0\r\n\r\n`,
    );
  try {
    write('first');
    await waitUntil(() => answers.length === 1);
    const drained = deployment.router.drain();
    await deployment.delay(3200);
    // The second request waits behind the first, whose answer ends now.
    write('second');
    answers[0]!();
    await drained;
    await waitUntil(() => socket.destroyed || received.includes('router_shutting_down'));
    assert.ok(received.startsWith('HTTP/1.1 200'), received);
    assert.equal(deployment.servers[0]!.arrivals.length, 1);
  } finally {
    socket.destroy();
    await deployment.close();
  }
});

// Guards against streams that start long after SIGTERM and are cut when the grace period ends.
test('a request on a kept connection late in the drain is refused as not run while the router still listens', async () => {
  const deployment = await createDeployment([(arrival) => sendAnswer(arrival)]);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  try {
    assert.equal((await deployment.call('/any/1', { agent })).status, 200);
    const drained = deployment.router.drain();
    await deployment.delay(2650);
    const late = await deployment.call('/any/2', { agent });
    assert.deepEqual([late.status, late.headers.connection], [503, 'close']);
    assert.match(late.body, /router_shutting_down.*"ran":"no"/);
    assert.equal(deployment.servers[0]!.arrivals.length, 1);
    await drained;
  } finally {
    agent.destroy();
    await deployment.close();
  }
});

const head = (id: string) => requestHead('/any/1', [`Attempt-Id: ${id}`, 'Content-Length: 0']);

// Guards against connections that are reset with unread requests because the HTTP server closes its idle connections.
test('a request that has arrived on a kept connection when the router stops listening is answered', async () => {
  const port = await findFreePort();
  const server = await createCallerServer({
    host: '127.0.0.1',
    port,
    limits: () => undefined,
    onRequest: (_req, res) => res.end('answer'),
    onLateRequest: (_req, res) => res.end('refusal'),
    onExcessRequest: (_req, res) => res.end('refused'),
    maxConnections: 10,
    maxRefusedConnections: 10,
    maxWaitingBytes: 100_000,
    acceptQueue: createAcceptQueue(1, () => performance.now(), setImmediate),
    clock: () => performance.now(),
    logger: createRecordingLogger(),
  });
  const caller = createRawCaller({ settings: { callers: { address: `127.0.0.1:${port}` } } });
  try {
    caller.write(head('first'));
    await waitUntil(() => caller.received().endsWith('answer'));
    caller.write(head('second'));
    const stopped = server.stopListening();
    await waitUntil(() => caller.isEnded());
    await stopped;
    assert.ok(caller.received().endsWith('refusal'), caller.received());
    assert.equal(caller.error(), undefined);
  } finally {
    caller.close();
    await server.close();
  }
});
