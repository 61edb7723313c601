/**
 * Guards against requests that count as sent, so that they aren't retried, although their connection couldn't be opened, and against
 * servers that are avoided because this router has no descriptors.
 */
import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import { startAttempt } from '../../src/relay/attempt.js';
import { createServerConnections } from '../../src/relay/server-connections.js';
import type { AttemptListener, AttemptRequest, ResponseSink } from '../../src/relay/types.js';

/** Returns a socket that fails as Node's do: at once, before it is handed to its request. */
function openWithoutDescriptor(): Socket {
  const socket = new Socket();
  const err = Object.assign(new Error('connect EMFILE'), { code: 'EMFILE' });
  process.nextTick(() => socket.destroy(err));
  return socket;
}

/** Returns the outcome of an attempt at a port on which nothing listens, on one of at most `maxConnections` connections. */
async function attempt(maxConnections: number, agent: object = {}): Promise<unknown> {
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections,
    responseBytes: 1024 * 1024,
  });
  Object.assign(connections.agent, agent);
  const req: Partial<AttemptRequest> = {
    method: 'POST',
    path: '/',
    headers: ['Host', 'a.example'],
    body: Buffer.from('body'),
    host: '127.0.0.1',
    port: 1,
    usedSockets: new Set(),
  };
  const outcome = await new Promise((resolve) => {
    const listener: Partial<AttemptListener> = { onEnded: resolve };
    startAttempt(
      connections,
      req as AttemptRequest,
      {} as ResponseSink,
      listener as AttemptListener,
    );
  });
  connections.close();
  return outcome;
}

test('an attempt without a descriptor for its connection says nothing about the server', async () => {
  const agent = { createConnection: openWithoutDescriptor };
  assert.equal(await attempt(100, agent), AttemptOutcome.Unopened);
  assert.equal(await attempt(0), AttemptOutcome.Unopened);
});

test('an attempt at a server that refuses connections is unsent', async () => {
  assert.equal(await attempt(100), AttemptOutcome.Unsent);
});
