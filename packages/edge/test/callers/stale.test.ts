/** Load pattern: a busy router reads requests whose callers have left meanwhile. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { createDeployment, until } from '../standins/deployment.js';
import { parseAddress } from '../../src/settings.js';
import { answerWith } from '../standins/server-standin.js';

const REQUESTS = 20;

function requestText(id: number): string {
  const head = ['POST /once/1 HTTP/1.1', 'Host: a.example', `Attempt-Id: left-${id}`];
  return [...head, 'Credential: key-1', 'Content-Length: 2', '', 'xx'].join('\r\n');
}

/** Keeps the loop, and with it the router, from reading. */
function block(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

test('requests of callers that left before they were read reach no server', async () => {
  const deployment = await createDeployment([(arrival) => answerWith(arrival)]);
  const address = parseAddress(deployment.settings.callers.address);
  for (let id = 0; id < REQUESTS; id += 1) {
    const socket = connect(address);
    socket.on('error', () => undefined);
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    // One turn later the router has accepted; it reads only after the block.
    socket.once('connect', () => {
      setTimeout(() => {
        socket.end(requestText(id));
        setImmediate(() => block(5));
      }, 10);
    });
    await closed;
  }
  await deployment.call('/any/1');
  await until(() => deployment.servers[0]!.arrivals.length > 0);
  const left = deployment.servers[0]!.arrivals.filter(({ req }) => req.url === '/once/1');
  await deployment.close();
  assert.equal(left.length, 0);
});
