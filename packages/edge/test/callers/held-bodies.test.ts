/** Guards against routers that exceed their memory by the bodies of requests whose backend servers are slow, and against lost refusals. */
import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import { test } from 'node:test';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';
import { PATIENT, waitUntil, withDeployment } from '../standins/deployment.js';
import type { CallerAnswer, Deployment } from '../standins/deployment.js';

/** Within the limit of a body. */
const BODY = 'x'.repeat(90_000);
/** More bodies than the router's memory has room for. */
const BODIES = 60;

function isMemoryFull({ status, headers, body }: CallerAnswer): boolean {
  return (
    status === 503 &&
    Number(headers['retry-after']) > 0 &&
    body === '{"code":"router_memory_full","ran":"no"}'
  );
}

/** Sends requests with large bodies, of which as many as there is memory for wait at the backend server. */
async function fillMemory({ call, servers }: Deployment, agent: Agent) {
  const refused: CallerAnswer[] = [];
  const ends = Array.from({ length: BODIES }, async () => {
    const answer = await call('/any/x', { method: 'POST', body: BODY, agent });
    if (answer.status !== 200) refused.push(answer);
  });
  await waitUntil(() => refused.length + servers[0]!.arrivals.length === BODIES);
  return { refused, ended: Promise.all(ends) };
}

/** Sends the head of a request with half of a body that has no stated length, and returns its answer. */
function callInChunks(address: string): Promise<CallerAnswer> {
  const [host, port] = address.split(':');
  const headers = { Host: 'a.example', 'Attempt-Id': 'chunks', Credential: 'key-1' };
  return new Promise((resolve, reject) => {
    const req = request({ host, port, path: '/any/x', method: 'POST', headers }, (res) => {
      res.setEncoding('utf8');
      let body = '';
      res.on('data', (text: string) => {
        body += text;
      });
      res.on('end', () => {
        resolve({ status: res.statusCode!, headers: res.headers, body, complete: res.complete });
        req.destroy();
      });
    });
    req.on('error', reject);
    req.write(BODY);
  });
}

test('bodies that the memory has no room for are refused at once, and small ones are not affected', async () => {
  const waiting: Arrival[] = [];
  let isSlow = true;
  const handle = (arrival: Arrival) => {
    if (isSlow && arrival.body.length === BODY.length) waiting.push(arrival);
    else sendAnswer(arrival);
  };
  await withDeployment([handle], async (deployment) => {
    const { call, settings } = deployment;
    await deployment.changeRoutes(PATIENT);
    const agent = new Agent({ keepAlive: true });
    const { refused, ended } = await fillMemory(deployment, agent);
    assert.ok(refused.length > 0);
    assert.deepEqual(
      refused.filter((answer) => !isMemoryFull(answer)),
      [],
    );
    assert.ok(waiting.length * BODY.length <= (settings.process.memoryMb * 1024 * 1024) / 4);
    assert.ok(isMemoryFull(await callInChunks(settings.callers.address)));
    assert.ok(isMemoryFull(await call('/any/x', { method: 'POST', body: BODY })));
    assert.equal((await call('/any/x', { method: 'POST', body: 'small' })).status, 200);
    isSlow = false;
    waiting.forEach((arrival) => sendAnswer(arrival));
    await ended;
    assert.ok(!isMemoryFull(await call('/any/x', { method: 'POST', body: BODY })));
    agent.destroy();
  });
});

test('a stated length over the limit is refused before the body arrives', async () => {
  await withDeployment([sendAnswer], async ({ call, servers }) => {
    const headers = { 'Content-Length': '100001' };
    const answer = await call('/any/x', {
      method: 'POST',
      headers,
      body: 'x',
      agent: new Agent({ keepAlive: true }),
    });
    assert.equal(answer.status, 413);
    assert.equal(servers[0]!.arrivals.length, 0);
  });
});
