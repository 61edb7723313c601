import assert from 'node:assert/strict';
import { test } from 'node:test';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const HEAD = requestHead('/any/1', ['Content-Length: 0']);

// Guards against one connection whose requests, sent without reading an answer, fill the heap.
test('a caller that sends requests without end loses its connection', async () => {
  await withDeployment([sendAnswer], async (deployment) => {
    const caller = createRawCaller(deployment);
    caller.pause();
    const block = HEAD.repeat(500);
    const flood = setInterval(() => caller.write(block), 1);
    await waitUntil(() => deployment.logLines.some(({ event }) => event === 'pipeline-too-long'));
    clearInterval(flood);
    caller.resume();
    await waitUntil(() => caller.isClosed());
    assert.equal((await deployment.call('/any/1')).status, 200);
  });
});

test('pipelined requests are all answered, also while the connection is not read', async () => {
  const handle = (arrival: Arrival): void => {
    setTimeout(() => sendAnswer(arrival), 20);
  };
  await withDeployment([handle], async (deployment) => {
    const caller = createRawCaller(deployment);
    caller.write(HEAD.repeat(40));
    await waitUntil(() => caller.received().split('HTTP/1.1 ').length - 1 === 40);
    caller.write(HEAD);
    await waitUntil(() => caller.received().split('HTTP/1.1 ').length - 1 === 41);
    caller.close();
  });
});
