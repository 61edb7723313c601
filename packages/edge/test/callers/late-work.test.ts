/** Guards against requests that a draining router takes and can't end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  isConfigInForce,
  PATIENT,
  sampleDocument,
  waitUntil,
  withDeployment,
} from '../standins/deployment.js';
import type { Deployment } from '../standins/deployment.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import type { RawCaller } from '../standins/raw-caller.js';
import { sendAnswer, signedHeaders } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const WORK_MS = 900;
const LONG_DEADLINE = { 'Deadline-Ms': '9000' };
const answerAfterWork = (arrival: Arrival) => setTimeout(() => sendAnswer(arrival), WORK_MS);

/** Gives all routes a timeout beyond the grace period. */
const allowLongRequests = (deployment: Deployment): Promise<void> =>
  deployment.changeRoutes({ ...PATIENT, timeoutMs: 9000 });

/** Drains the router and closes it, as its process does on SIGTERM. */
async function stop({ router }: Deployment): Promise<void> {
  await router.drain();
  await router.close();
}

// Guards against requests that are sent to a server so late in the drain that they are cut without an answer when it ends.
test('a request whose body ends when its server can no longer answer in time is refused as not run', async () => {
  await withDeployment([answerAfterWork], async (deployment) => {
    await allowLongRequests(deployment);
    const [early, late] = [createRawCaller(deployment), createRawCaller(deployment)];
    // From this one, the router learns how long such requests take.
    assert.equal((await deployment.call('/once/1', { method: 'POST' })).status, 200);
    const stopped = stop(deployment);
    await deployment.delay(1000);
    early.write(requestHead('/once/1', ['Attempt-Id: early', 'Content-Length: 4']));
    early.write('body');
    late.write(requestHead('/once/1', ['Attempt-Id: late', 'Content-Length: 4']));
    late.write('bo');
    assert.equal(await early.answer(), '200');
    await deployment.delay(2200);
    late.write('dy');
    assert.equal(await late.answer(), '503');
    assert.match(late.received(), /"router_shutting_down","ran":"no"/);
    assert.equal(deployment.servers[0]!.arrivals.length, 2);
    await stopped;
    [early, late].forEach((caller) => caller.close());
  });
});

// Guards against a router that refuses everything when it is stopped before it has served anything.
test('a router that has served nothing yet serves what arrives when it is stopped', async () => {
  await withDeployment([answerAfterWork], async (deployment) => {
    await allowLongRequests(deployment);
    const stopped = stop(deployment);
    const answers = Array.from({ length: 4 }, async (_none, index) => {
      await delay(index * 400);
      const { status } = await deployment.call('/once/1', {
        method: 'POST',
        headers: LONG_DEADLINE,
      });
      return status;
    });
    assert.deepEqual(await Promise.all(answers), Array<number>(4).fill(200));
    await stopped;
  });
});

// Guards against connections that are closed without an answer when the grace period ends.
test('requests that are still open when the drain ends get a final answer', async () => {
  const ignoreRequest = () => undefined;
  await withDeployment([ignoreRequest], async (deployment) => {
    await allowLongRequests(deployment);
    const [running, receiving] = [createRawCaller(deployment), createRawCaller(deployment)];
    running.write(requestHead('/once/1', ['Attempt-Id: running', 'Content-Length: 0']));
    receiving.write(requestHead('/once/1', ['Attempt-Id: receiving', 'Content-Length: 4']));
    receiving.write('bo');
    await waitUntil(() => deployment.servers[0]!.arrivals.length === 1);
    await stop(deployment);
    assert.equal(await running.answer(), '502');
    assert.match(running.received(), /"outcome_unknown","ran":"unknown"/);
    assert.equal(await receiving.answer(), '503');
    assert.match(receiving.received(), /"router_shutting_down","ran":"no"/);
    [running, receiving].forEach((caller) => caller.close());
  });
});

// Guards against streams that look complete because the router answered in them or ended them when the grace period ended.
test('a stream that is still open when the drain ends is broken off', async () => {
  const beginStream = (arrival: Arrival) => {
    arrival.res.writeHead(200, signedHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
    arrival.res.write('id: 1\n\n');
  };
  await withDeployment([beginStream], async (deployment) => {
    await allowLongRequests(deployment);
    const stream = deployment.call('/stream/1', { method: 'POST', headers: LONG_DEADLINE });
    await waitUntil(() => deployment.servers[0]!.arrivals.length === 1);
    await stop(deployment);
    const { status, body, complete } = await stream;
    assert.deepEqual([status, body, complete], [200, 'id: 1\n\n', false]);
  });
});

/** Sends the parts of a body one by one, the first with the head, and returns the answer's status once the last one is sent. */
async function sendSlowly(caller: RawCaller, head: string, parts: string[]): Promise<string> {
  caller.write(head + parts[0]!);
  const answered = caller.answer();
  for (const part of parts.slice(1)) {
    await delay(100);
    caller.write(part);
  }
  await delay(100);
  return answered;
}

// Guards against refusals that are lost with a connection that is reset because the router closed it before it had read the body.
test('a connection on which a request is refused before its body ends is not reset', async () => {
  await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
    const callers = Array.from({ length: 2 }, () => createRawCaller(deployment));
    const [tooLarge, late] = callers as [RawCaller, RawCaller];
    const parts = Array<string>(8).fill('x'.repeat(25_000));
    const headers = (id: string) => [`Attempt-Id: ${id}`, 'Content-Length: 200000'];
    const largeHead = requestHead('/once/1', [...headers('large'), 'Connection: close']);
    assert.equal(await sendSlowly(tooLarge, largeHead, parts), '413');
    const stopped = stop(deployment);
    await deployment.delay(2600);
    assert.equal(await sendSlowly(late, requestHead('/once/1', headers('late')), parts), '503');
    assert.deepEqual(
      callers.map((caller) => caller.error()),
      [undefined, undefined],
    );
    callers.forEach((caller) => caller.close());
    await stopped;
  });
});

// Guards against a drain that outlasts a short grace period, so that the process is killed and open requests get no answer.
test('the drain ends in time if the grace period is shorter than the time in which new connections arrive', async () => {
  const ignoreRequest = () => undefined;
  await withDeployment([ignoreRequest], async (deployment) => {
    await allowLongRequests(deployment);
    deployment.settings.shutdown.graceS = 1;
    const running = createRawCaller(deployment);
    running.write(requestHead('/once/1', ['Attempt-Id: running', 'Content-Length: 0']));
    await waitUntil(() => deployment.servers[0]!.arrivals.length === 1);
    const killed = delay(1000, 'killed');
    assert.equal(await Promise.race([stop(deployment), killed]), undefined);
    assert.equal(await running.answer(), '502');
    running.close();
  });
});

test('a request is answered though a configuration without its route is in force when its body ends', async () => {
  await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
    const { store, servers } = deployment;
    const caller = createRawCaller(deployment);
    caller.write(requestHead('/once/1', ['Attempt-Id: a', 'Content-Length: 4']));
    await delay(100);
    const { routes } = sampleDocument();
    store.put(
      'config',
      'main',
      sampleDocument(2, { routes: routes.filter(({ name }) => name !== 'once') }),
    );
    await waitUntil(() => isConfigInForce(deployment.logLines, 2));
    caller.write('body');
    assert.equal(await caller.answer(), '200');
    assert.equal(servers[0]!.arrivals.length, 1);
    caller.close();
  });
});

test('the drain ends in time though the store is down', async () => {
  await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
    deployment.store.setDown(true);
    const killed = delay(5000, 'killed');
    assert.equal(await Promise.race([stop(deployment), killed]), undefined);
  });
});

// Guards against connections that are reset because their first request was on its way when the router stopped listening.
test('a request on a connection that was opened just before the router stops listening is refused as not run', async () => {
  await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
    const stopped = stop(deployment);
    await deployment.delay(2900);
    const caller = createRawCaller(deployment);
    await deployment.delay(200);
    caller.write(requestHead('/once/1', ['Attempt-Id: a', 'Content-Length: 0']));
    assert.equal(await caller.answer(), '503');
    await stopped;
    caller.close();
  });
});

// Guards against connections that are reset because a late event loop stopped listening before it accepted them.
test('connections that wait to be accepted when the router stops listening are accepted and refused as not run', async () => {
  await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
    const stopped = stop(deployment);
    await deployment.delay(2900);
    const callers = Array.from({ length: 5 }, () => createRawCaller(deployment));
    callers.forEach((caller) =>
      caller.write(requestHead('/once/1', ['Attempt-Id: a', 'Content-Length: 0'])),
    );
    const blockedUntilMs = performance.now() + 200;
    while (performance.now() < blockedUntilMs);
    const answers = await Promise.all(callers.map((caller) => caller.answer()));
    assert.deepEqual(answers, Array<string>(5).fill('503'));
    await stopped;
    callers.forEach((caller) => caller.close());
  });
});

// Guards against requests that run although their connection closes, or that get no answer, because an earlier one is open.
test('a request that follows an unanswered one on its connection is refused as not run in the drain', async () => {
  await withDeployment([answerAfterWork], async (deployment) => {
    await allowLongRequests(deployment);
    assert.equal((await deployment.call('/once/1', { method: 'POST' })).status, 200);
    const stopped = stop(deployment);
    await delay(100);
    const caller = createRawCaller(deployment);
    const heads = ['first', 'second'].map((id) =>
      requestHead('/once/1', [`Attempt-Id: ${id}`, 'Content-Length: 0']),
    );
    caller.write(heads.join(''));
    assert.equal(await caller.answer(), '200');
    await stopped;
    assert.match(
      caller.received(),
      /\r\n\r\nanswerHTTP\/1\.1 503 [^]*"router_shutting_down","ran":"no"/,
    );
    const ids = deployment.servers[0]!.arrivals.map(({ header }) => header('attempt-id'));
    assert.deepEqual(ids.slice(1), ['first']);
    caller.close();
  });
});

// Guards against callers that send the next request as soon as an answer ends, and get none, because the router ends the connection.
test('a request that follows a stream which ends after the router has stopped listening is refused as not run', async () => {
  const streams: Arrival[] = [];
  const beginStream = (arrival: Arrival) => {
    streams.push(arrival);
    arrival.res.writeHead(200, signedHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
    arrival.res.write('id: 1\n\n');
  };
  await withDeployment([beginStream], async (deployment) => {
    const caller = createRawCaller(deployment);
    caller.write(requestHead('/stream/1', ['Attempt-Id: a', 'Content-Length: 0']));
    await waitUntil(() => caller.received().includes('id: 1'));
    const stopped = stop(deployment);
    await deployment.delay(3200);
    streams[0]!.res.end('id: 2\n\n');
    await waitUntil(() => caller.received().endsWith('0\r\n\r\n'));
    await delay(50);
    caller.write(requestHead('/once/1', ['Attempt-Id: b', 'Content-Length: 0']));
    await waitUntil(() => caller.isEnded());
    assert.match(
      caller.received(),
      /0\r\n\r\nHTTP\/1\.1 503 [^]*"router_shutting_down","ran":"no"/,
    );
    assert.equal(deployment.servers[0]!.arrivals.length, 1);
    await stopped;
    caller.close();
  });
});
