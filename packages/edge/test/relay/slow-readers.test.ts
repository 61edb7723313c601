/** Guards against a complete answer that is broken off because its connection ends while its caller reads slowly. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import { createStreamJoin } from '@kingcupsill/core/event-stream';
import { startAttempt } from '../../src/relay/attempt.js';
import { createServerConnections } from '../../src/relay/server-connections.js';
import { waitUntil } from '../standins/deployment.js';

const EVENTS = [
  'id: 1\ndata: first\n\n',
  `id: 2\ndata: ${'x'.repeat(9000)}\n\n`,
  'id: 3\ndata: last\n\n',
];
const BODY = EVENTS.join('');
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

const FRAMINGS: Record<string, { field: string; body: string }> = {
  chunks: { field: 'Transfer-Encoding: chunked', body: `${EVENTS.map(toChunk).join('')}0\r\n\r\n` },
  'a length': { field: `Content-Length: ${BODY.length}`, body: BODY },
  'its connection': { field: 'Connection: close', body: BODY },
};
const ENDS: Record<string, (socket: Socket) => void> = {
  closed: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

/** Runs a stream whose caller takes one event and reads on when the server's connection has ended. */
async function runStream(head: string, body: string, end: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const firstBytes = body.indexOf('\n\n') + 2;
      socket.write(head + body.slice(0, firstBytes));
      // Apart, so that the rest waits for the caller.
      setTimeout(() => socket.write(body.slice(firstBytes)), 20);
      setTimeout(() => end(socket), 40);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections: 4,
    responseBytes: 1024 * 1024,
  });
  const usedSockets = new Set<Socket>();
  const outcomes: AttemptOutcome[] = [];
  let received = '';
  let drain: (() => void) | undefined;
  let isSlow = true;
  const listener = {
    onAnnounced: () => undefined,
    onBegun: () => undefined,
    onDelivered: () => undefined,
    onBodyEnded: () => undefined,
    onEnded: (outcome: AttemptOutcome) => outcomes.push(outcome),
    onError: assert.fail,
  };
  const sink = {
    isHeadSent: () => received !== '',
    writeHead: () => undefined,
    write(bytes: Buffer, onDrain: () => void) {
      received += bytes.toString();
      if (isSlow) drain = onDrain;
      return !isSlow;
    },
  };
  startAttempt(
    connections,
    {
      method: 'POST',
      path: '/',
      headers: ['Host', 'a', 'Attempt-Id', 'a1'],
      body: Buffer.alloc(0),
      attemptId: 'a1',
      streaming: true,
      streamJoin: createStreamJoin({ isResumable: false, resumeAfter: undefined }),
      isResumed: false,
      host: '127.0.0.1',
      port: (server.address() as AddressInfo).port,
      maxIdleMs: undefined,
      usedSockets,
    },
    sink,
    listener,
  );
  await waitUntil(() => drain !== undefined && [...usedSockets].every(({ closed }) => closed));
  isSlow = false;
  drain!();
  await waitUntil(() => outcomes.length > 0);
  connections.close();
  server.close();
  return { received, outcomes };
}

for (const [framing, { field, body }] of Object.entries(FRAMINGS))
  for (const [ending, end] of Object.entries(ENDS))
    test(`a stream that is framed by ${framing} and read slowly is judged by its bytes if its connection is ${ending}`, async () => {
      const lines = ['HTTP/1.1 200 OK', 'Attempt-Id: a1', 'Response-Signature: sig', field];
      const head = `${lines.join('\r\n')}\r\nContent-Type: text/event-stream\r\n\r\n`;
      const { received, outcomes } = await runStream(head, body, end);
      const isWhole = framing !== 'its connection' || ending === 'closed';
      assert.deepEqual(outcomes, [isWhole ? AttemptOutcome.Complete : AttemptOutcome.Unknown]);
      if (isWhole) assert.equal(received, BODY);
    });
