/** Guards against requests and answers that are lost because a paused router acts by the clock before it reads what has arrived. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  isConfigInForce,
  sampleDocument,
  waitUntil,
  withDeployment,
} from '../standins/deployment.js';
import { pauseProcess } from '../standins/pause-process.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const IDLE_TIMEOUT_MS = 1500;
// The pause must count for the router's timers.
const clock = () => performance.now();
const head = (id: string, path = '/any/1') =>
  requestHead(path, [`Attempt-Id: ${id}`, 'Content-Length: 0']);

// Guards against kept connections that are reset after a pause, though requests have arrived on them in time.
test('a request that arrives on a kept connection while the router is paused is answered', async () => {
  await withDeployment(
    [(arrival) => sendAnswer(arrival)],
    async (deployment) => {
      const { store, logLines, servers } = deployment;
      const limits = { ...sampleDocument().limits, idleTimeoutMs: IDLE_TIMEOUT_MS };
      store.put('config', 'main', sampleDocument(2, { limits }));
      await waitUntil(() => isConfigInForce(logLines, 2));
      const callers = Array.from({ length: 5 }, () => createRawCaller(deployment));
      callers.forEach((caller, index) => caller.write(head(`first-${index}`)));
      await Promise.all(callers.map((caller) => caller.answer()));
      await delay(IDLE_TIMEOUT_MS / 2);
      callers.forEach((caller, index) => caller.write(head(`second-${index}`)));
      pauseProcess(2 * IDLE_TIMEOUT_MS);
      const countAnswers = () =>
        callers.flatMap((caller) => caller.received().match(/HTTP\/1\.1 (200|503)/g) ?? []).length;
      await waitUntil(() => countAnswers() === 10 || callers.some((caller) => caller.isEnded()));
      assert.equal(countAnswers(), 10);
      assert.ok(servers[0]!.arrivals.length >= 5);
      callers.forEach((caller) => caller.close());
    },
    clock,
  );
});

// Guards against answers of servers that are replaced by 504 because a pause ends after the timeout.
test('an answer that arrives while the router is paused is passed on though its timeout passes in the pause', async () => {
  const answerAndPause = (arrival: Arrival): void => {
    sendAnswer(arrival);
    pauseProcess(500);
  };
  await withDeployment(
    [answerAndPause],
    async (deployment) => {
      const { status, body } = await deployment.call('/short/1');
      assert.deepEqual([status, body], [200, 'answer']);
    },
    clock,
  );
});

// Guards against answers that are cut because a pause counts as time in which the caller didn't read them.
test('an answer that the caller reads after a pause is whole', async () => {
  const large = 'x'.repeat(7 * 1024 * 1024);
  await withDeployment(
    [(arrival) => sendAnswer(arrival, large)],
    async (deployment) => {
      const caller = createRawCaller(deployment);
      caller.pause();
      caller.write(head('a', '/short/1'));
      await waitUntil(() => deployment.servers[0]!.arrivals.length === 1);
      await delay(500);
      pauseProcess(2600);
      caller.resume();
      assert.equal(await caller.answer(), '200');
      caller.close();
    },
    clock,
  );
});
