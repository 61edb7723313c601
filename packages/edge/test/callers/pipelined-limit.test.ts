/** Guards against a stream that is cut because the response behind it on its connection has waited beyond its deadline. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { sendAnswer, signedHeaders } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

test('a response that waits for its turn beyond its deadline does not cut the stream before it', async () => {
  const streams: Arrival[] = [];
  const handle = (arrival: Arrival): void => {
    if (!arrival.req.url!.startsWith('/talk/')) {
      sendAnswer(arrival);
      return;
    }
    arrival.res.writeHead(200, signedHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
    arrival.res.write('id: 1\n\n');
    streams.push(arrival);
  };
  await withDeployment([handle], async (deployment) => {
    const caller = createRawCaller(deployment);
    caller.write(requestHead('/talk/1', ['Attempt-Id: a', 'Content-Length: 0']));
    caller.write(requestHead('/any/1', ['Attempt-Id: b', 'Deadline-Ms: 300', 'Content-Length: 0']));
    await waitUntil(() => deployment.logLines.some(({ event }) => event === 'response-unread'));
    streams[0]!.res.end('id: 2\n\n');
    await waitUntil(() => caller.isEnded());
    assert.match(caller.received(), /id: 2\n\n\r\n0\r\n\r\n$/);
    caller.close();
  });
});
