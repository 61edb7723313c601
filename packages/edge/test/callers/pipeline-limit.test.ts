import assert from 'node:assert/strict';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { createPipelineLimit } from '../../src/callers/pipeline-limit.js';
import { createQueuedResponses } from '../../src/callers/queued-responses.js';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const HEAD = requestHead('/any/1', ['Content-Length: 0']);

// Guards against one connection whose requests, sent without reading an answer, fill the heap.
test('a connection is not read while requests are open, and closed for too many', () => {
  const limit = createPipelineLimit(createQueuedResponses(), createRecordingLogger(), {
    pauseRequests: 2,
    maxRequests: 3,
  });
  const socket = new Socket();
  const responses = [1, 2, 3, 4].map(() => new ServerResponse(new IncomingMessage(socket)));
  const [first, second, third, fourth] = responses as [ServerResponse, ...ServerResponse[]];
  assert.equal(limit(socket, first), true);
  assert.equal(socket.isPaused(), false);
  assert.equal(limit(socket, second!), true);
  assert.equal(socket.isPaused(), true);
  first.emit('close');
  assert.equal(socket.isPaused(), false);
  assert.equal(limit(socket, third!), true);
  assert.equal(limit(socket, first), true);
  assert.equal(limit(socket, fourth!), false);
  assert.equal(socket.destroyed, true);
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
