/** Guards against requests that count as sent, so that they aren't retried, although their connection couldn't be opened. */
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
  process.nextTick(() => socket.destroy(new Error('connect EMFILE')));
  return socket;
}

test('an attempt without a descriptor for its connection is unsent', async () => {
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections: 100,
    headBytes: 100 * 16 * 1024,
    responseBytes: 1024 * 1024,
  });
  Object.assign(connections.agent, { createConnection: openWithoutDescriptor });
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
  assert.equal(outcome, AttemptOutcome.Unsent);
  connections.close();
});
