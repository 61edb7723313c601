import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const HEAD = requestHead('/any/1', ['Content-Length: 0']);

// Guards against one connection whose requests, sent without reading an answer, fill the heap, and against a limit that cuts it.
test('a connection is not read while many requests are open, and all of them are answered', async () => {
  const waiting: Arrival[] = [];
  await withDeployment([(arrival) => waiting.push(arrival)], async (deployment) => {
    const caller = createRawCaller(deployment);
    for (let sent = 0; sent < 200; sent += 1) {
      caller.write(HEAD);
      await delay(2);
    }
    assert.ok(waiting.length <= 20, `${waiting.length} requests open`);
    const answerAll = setInterval(
      () => waiting.splice(0).forEach((arrival) => sendAnswer(arrival)),
      5,
    );
    await waitUntil(() => caller.received().split('HTTP/1.1 ').length - 1 === 200);
    clearInterval(answerAll);
    caller.close();
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
