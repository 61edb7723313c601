/** Guards against an attempt whose end is decided by a signal that overtakes the bytes before it. */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import fc from 'fast-check';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import { createStreamJoin } from '@kingcupsill/core/event-stream';
import { startAttempt } from '../../src/relay/attempt.js';
import { createServerConnections } from '../../src/relay/server-connections.js';

const EVENTS = [
  'id: 1\ndata: a\n\n',
  `id: 2\ndata: ${'x'.repeat(40_000)}\n\n`,
  'id: 3\ndata: z\n\n',
];
const BODY = EVENTS.join('');
const PREFIXES = [0, 1, 2, 3].map((count) => EVENTS.slice(0, count).join(''));
const HEAD =
  'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n';
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const RESPONSES = {
  chunks: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${EVENTS.map(toChunk).join('')}0\r\n\r\n`,
  length: `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  connection: `${HEAD}Connection: close\r\n\r\n${BODY}`,
};

/** Connection without a network. */
function createConnection() {
  const socket = new Duplex({
    read: () => undefined,
    write: (_chunk, _encoding, done) => done(),
  }) as unknown as Socket & { bytesRead: number };
  const self = (): Socket => socket;
  Object.assign(socket, {
    bytesRead: 0,
    connecting: false,
    resetAndDestroy: () => socket.destroy(),
  });
  Object.assign(socket, {
    setNoDelay: self,
    setKeepAlive: self,
    setTimeout: self,
    ref: self,
    unref: self,
  });
  return socket;
}

const step = fc.oneof(
  fc.record({
    kind: fc.constant('bytes' as const),
    share: fc.double({ min: 0, max: 1, noNaN: true }),
  }),
  fc.record({ kind: fc.constantFrom('pause' as const, 'drain' as const, 'turn' as const) }),
);
const plan = fc.record({
  framing: fc.constantFrom(...(Object.keys(RESPONSES) as (keyof typeof RESPONSES)[])),
  steps: fc.array(step, { maxLength: 12 }),
  /** All bytes come before the end. */
  isWhole: fc.boolean(),
  end: fc.constantFrom('fin', 'reset', 'none'),
});
type Plan = typeof plan extends fc.Arbitrary<infer TPlan> ? TPlan : never;

async function run({ framing, steps, isWhole, end }: Plan) {
  const socket = createConnection();
  const connections = createServerConnections({
    nowMs: () => 0,
    maxConnections: 4,
    responseBytes: 1e6,
  });
  const agent = new Agent();
  Object.assign(agent, { createConnection: () => socket });
  const outcomes: AttemptOutcome[] = [];
  let received = '';
  let isPaused = false;
  let drain: (() => void) | undefined;
  const attempt = startAttempt(
    { ...connections, agent, prune: () => undefined },
    {
      ...{ method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), attemptId: 'a1' },
      ...{
        streaming: true,
        streamJoin: createStreamJoin({ isResumable: false, resumeAfter: undefined }),
        isResumed: false,
      },
      ...{ host: 'localhost', port: 1, maxIdleMs: undefined, usedSockets: new Set<Socket>() },
    },
    {
      isHeadSent: () => received !== '',
      writeHead: () => undefined,
      write(bytes, onDrain) {
        received += bytes.toString();
        if (isPaused) drain = onDrain;
        return !isPaused;
      },
    },
    {
      ...{ onAnnounced: () => undefined, onBegun: () => undefined, onDelivered: () => undefined },
      ...{ onBodyEnded: () => undefined, onError: assert.fail },
      onEnded: (outcome) => outcomes.push(outcome),
    },
  );
  const bytes = Buffer.from(RESPONSES[framing]);
  let sent = 0;
  const send = (count: number): void => {
    const part = bytes.subarray(sent, sent + count);
    sent += part.length;
    socket.bytesRead = sent;
    if (part.length > 0) socket.push(part);
  };
  const resume = (): void => {
    isPaused = false;
    const onDrain = drain;
    drain = undefined;
    onDrain?.();
  };
  await nextTurn();
  for (const next of steps) {
    if (next.kind === 'bytes') send(Math.ceil(next.share * bytes.length));
    else if (next.kind === 'pause') isPaused = true;
    else if (next.kind === 'drain') resume();
    else await nextTurn();
  }
  if (isWhole) send(bytes.length);
  // What a connection still holds when it is reset is lost, as in the kernel.
  const isRead = sent === bytes.length && socket.readableLength === 0;
  if (end === 'fin') socket.push(null);
  if (end === 'reset') socket.destroy(new Error('ECONNRESET'));
  for (let turns = 0; turns < 12; turns += 1) {
    await nextTurn();
    resume();
  }
  attempt.cancel();
  socket.destroy();
  connections.close();
  return { outcomes, received, isSent: sent === bytes.length, isRead };
}

test('an attempt ends once, as complete if and only if its whole response has been read', async () => {
  const property = fc.asyncProperty(plan, async (drawn) => {
    const { outcomes, received, isSent, isRead } = await run(drawn);
    const isDelimited = drawn.framing !== 'connection';
    assert.ok(PREFIXES.includes(received), `${received.length} bytes passed on`);
    const isComplete =
      drawn.end === 'reset'
        ? isDelimited && isRead
        : isSent && (isDelimited || drawn.end === 'fin');
    if (isComplete) {
      assert.deepEqual(outcomes, [AttemptOutcome.Complete]);
      assert.equal(received, BODY);
      return;
    }
    if (drawn.end === 'none') assert.deepEqual(outcomes, []);
    // A body that its connection delimits may end behind any event.
    else if (drawn.end === 'fin' && !isDelimited) assert.equal(outcomes.length, 1);
    else assert.deepEqual(outcomes, [AttemptOutcome.Unknown]);
  });
  await fc.assert(property, { seed: 20261207, numRuns: 300 });
});
