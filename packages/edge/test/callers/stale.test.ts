/** Guards against work for callers that disconnected while their requests waited in the socket of a busy router. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { createDeployment, waitUntil } from '../standins/deployment.js';
import { parseAddress } from '../../src/settings.js';
import { sendAnswer } from '../standins/server-standin.js';

const REQUEST_COUNT = 20;

function requestText(id: number): string {
  const head = ['POST /once/1 HTTP/1.1', 'Host: a.example', `Attempt-Id: left-${id}`];
  return [...head, 'Credential: key-1', 'Content-Length: 2', '', 'xx'].join('\r\n');
}

/** Blocks the event loop, so that the router can't read. */
function blockEventLoop(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

test('does not forward requests of callers that disconnected before the request was read', async () => {
  const deployment = await createDeployment([(arrival) => sendAnswer(arrival)]);
  const address = parseAddress(deployment.settings.callers.address);
  for (let id = 0; id < REQUEST_COUNT; id += 1) {
    const socket = connect(address);
    socket.on('error', () => undefined);
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    // The router has accepted the connection by then; it reads the request only after the event loop is unblocked.
    socket.once('connect', () => {
      setTimeout(() => {
        socket.end(requestText(id));
        setImmediate(() => blockEventLoop(5));
      }, 10);
    });
    await closed;
  }
  await deployment.call('/any/1');
  await waitUntil(() => deployment.servers[0]!.arrivals.length > 0);
  const forwarded = deployment.servers[0]!.arrivals.filter(({ req }) => req.url === '/once/1');
  await deployment.close();
  assert.equal(forwarded.length, 0);
});
