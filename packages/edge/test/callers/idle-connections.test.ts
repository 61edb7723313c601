/** Guards against routers that exceed their memory by what idle connections keep of their last requests (review/11). */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createGarbageCollector } from '../standins/collect-garbage.js';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { sendAnswer } from '../standins/server-standin.js';

const CONNECTIONS = 40;
const MB = 1024 * 1024;
/** Limits of the deployment allow a body of this size. */
const BODY = 'x'.repeat(90_000);
const HEADERS = Array.from({ length: 900 }, (_none, index) => `X-${index}: ${index}`);

async function measureUsedBytes(): Promise<number> {
  const collectGarbage = createGarbageCollector();
  // What is still referenced by timers and callbacks of ended requests is released meanwhile.
  await delay(700);
  for (let times = 0; times < 3; times += 1) {
    collectGarbage();
    await delay(10);
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Returns the memory in bytes that each idle connection takes in this process, in which the router and the caller are. */
async function measureConnections(headers: string[], body: string): Promise<number> {
  let perConnection = 0;
  await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
    const callers = Array.from({ length: CONNECTIONS }, () => createRawCaller(deployment));
    async function sendAll(text: string): Promise<void> {
      for (const caller of callers) {
        const before = caller.received().length;
        caller.write(text);
        await waitUntil(() => caller.received().length > before);
        // The stand-in of the server keeps what has arrived.
        deployment.servers.forEach(({ arrivals }) => arrivals.splice(0));
      }
    }
    await sendAll(requestHead('/any/first', [], 'GET'));
    const before = await measureUsedBytes();
    await sendAll(requestHead('/any/x', [...headers, `Content-Length: ${body.length}`]) + body);
    perConnection = ((await measureUsedBytes()) - before) / CONNECTIONS;
    callers.forEach((caller) => caller.close());
  });
  return perConnection;
}

test('an idle connection keeps neither the body nor the head of its last request', async () => {
  const forBodies = await measureConnections([], BODY);
  assert.ok(forBodies < 0.2 * BODY.length, `${Math.round(forBodies)} bytes a connection, bodies`);
  const forHeads = await measureConnections(HEADERS, '');
  assert.ok(forHeads < 0.02 * MB, `${Math.round(forHeads)} bytes a connection, heads`);
});
