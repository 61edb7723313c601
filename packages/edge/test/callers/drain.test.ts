/** Shutdown cuts no request. */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { test } from 'node:test';
import { createDeployment, until } from '../standins/deployment.js';
import { answerWith, signed } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

test('a draining router is not ready at once, serves what still comes, and ends what is open', async () => {
  const open: Arrival[] = [];
  const deployment = await createDeployment([
    (arrival) => {
      if (arrival.req.url === '/stream/1') open.push(arrival);
      else answerWith(arrival);
    },
  ]);
  const { call, ready, router } = deployment;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  assert.equal((await call('/any/1', { agent })).headers.connection, 'keep-alive');
  const stream = call('/stream/1', { method: 'POST' });
  await until(() => open.length === 1);
  const drained = router.drain();
  assert.equal(await ready(), false);
  const late = await call('/any/2', { agent });
  assert.deepEqual([late.status, late.headers.connection], [200, 'close']);
  const { res } = open[0]!;
  res.writeHead(200, signed(open[0]!, { 'Content-Type': 'text/event-stream' }));
  res.write('id: 1\n\n');
  setTimeout(() => res.end('id: 2\n\n'), 3500);
  const answer = await stream;
  assert.deepEqual([answer.whole, answer.body], [true, 'id: 1\n\nid: 2\n\n']);
  await drained;
  await deployment.close();
});
