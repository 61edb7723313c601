/** Guards against servers that take the event loop from all callers by answers in tiny pieces, or by bytes outside the body. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { createStreamJoin } from '@kingcupsill/core/event-stream';
import { startAttempt } from '../../src/relay/attempt.js';
import { createServerConnections } from '../../src/relay/server-connections.js';
import type { ServerConnections } from '../../src/relay/server-connections.js';
import type { RunningAttempt } from '../../src/relay/types.js';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { createServerStandin, sendAnswer, writeRawAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const CHUNKED = ['Transfer-Encoding: chunked'];
const FLOOD_BYTES = 60 * 1024;
/** Below what the router would read until the deadline of a request. */
const MAX_RECEIVED_BYTES = 1024 * 1024;

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Repeats bytes until the connection is closed. */
function repeat(socket: Socket, text: string): void {
  const bytes = Buffer.from(text.repeat(Math.ceil(FLOOD_BYTES / text.length)));
  const writeMore = (): void => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('error', () => undefined);
  socket.on('drain', writeMore);
  writeMore();
}

/** Ways to flood, with the beginning of the body, what is repeated, and why the answer is broken off. */
const FLOODS = [
  ['/once/', 'a chunk size of zeros', '', '0', 'framing out of proportion'],
  ['/once/', 'chunk extensions', '', `1;${'x'.repeat(1000)}\r\nx\r\n`, 'framing out of proportion'],
  ['/once/', 'chunks of one byte', '', chunk('x'), 'framing out of proportion'],
  ['/once/', 'chunks of five bytes', '', chunk('xxxxx'), 'too many small pieces'],
  ['/talk/', 'line feeds in chunks', '', chunk('\n'), 'framing out of proportion'],
  ['/talk/', 'an event in chunks', chunk('data: '), chunk('xxxx'), 'too many small pieces'],
] as const;

for (const [path, name, beginning, repeated, detail] of FLOODS) {
  test(`${name} without end: the answer is broken off in proportion to its pieces, and the log says why`, async () => {
    const flood = (arrival: Arrival) =>
      repeat(writeRawAnswer(arrival, CHUNKED, beginning), repeated);
    await withDeployment([flood], async ({ call, logLines }) => {
      const answered = call(path + name.length, { method: 'POST' });
      const findEnd = () => logLines.find(({ event }) => event === 'attempt-ended')?.fields;
      await waitUntil(() => findEnd() !== undefined);
      const { end, detail: reason, receivedBytes, pieces } = findEnd()!;
      assert.deepEqual([end, reason], ['invalid', detail]);
      assert.equal(typeof pieces, 'number');
      const maxBytes = path === '/once/' && repeated.length > 6 ? 8 : 1;
      assert.ok(Number(receivedBytes) < maxBytes * MAX_RECEIVED_BYTES, `${receivedBytes} bytes`);
      // What a stream has delivered isn't taken back.
      const answer = await answered.catch(() => undefined);
      assert.ok(answer === undefined || answer.status === 502 || !answer.complete);
    });
  });
}

const event = (id: number) => ['id: ', `${id}\n`, 'data: x\n', '\n'];
const range = (count: number) => Array.from({ length: count }, (_item, index) => index + 1);

/** Sound answers in many pieces: the body as pieces, by path. */
const SOUND: Record<string, string[]> = {
  '/stream/events-by-line': range(20_000).flatMap(event),
  '/talk/event-byte-by-byte': [...`data: ${'x'.repeat(3000)}\n\n`],
  '/once/token-by-token': range(60_000).map((index) => ` t${index % 10}`),
  '/once/byte-by-byte': [...'x'.repeat(4000)],
};

test('long answers in a piece for each line, token or byte are passed on whole', async () => {
  const handle = (arrival: Arrival) =>
    writeRawAnswer(arrival, CHUNKED, [...SOUND[arrival.req.url!]!, ''].map(chunk).join(''));
  await withDeployment([handle], async ({ call }) => {
    for (const [path, pieces] of Object.entries(SOUND)) {
      const answer = await call(path, { method: 'POST' });
      assert.equal(answer.status, 200);
      assert.equal(answer.complete, true);
      assert.ok(answer.body === pieces.join(''), `${path}: ${answer.body.length} bytes`);
    }
  });
});

test('other callers are answered while servers send well-formed comments in small pieces without end', async () => {
  const isFlooding = { value: false };
  const handle = (arrival: Arrival) => {
    if (arrival.req.url === '/any/sound') sendAnswer(arrival);
    else {
      isFlooding.value = true;
      repeat(writeRawAnswer(arrival, CHUNKED, ''), chunk(': x\n\n'));
    }
  };
  await withDeployment([handle], async ({ call, logLines }) => {
    const flooded = range(3).map((index) => call(`/talk/${index}`, { method: 'POST' }));
    await waitUntil(() => isFlooding.value);
    const statuses = [];
    while (statuses.length < 5) statuses.push((await call('/any/sound')).status);
    const ends = logLines.filter(({ event: name }) => name === 'attempt-ended');
    assert.deepEqual([statuses, ends], [[200, 200, 200, 200, 200], []]);
    // The route's timeout ends them.
    for (const answer of await Promise.all(flooded)) assert.equal(answer.complete, false);
  });
});

test('a stream continues behind the events that precede malformed bytes in the same read', async () => {
  const [first, second, third] = range(3).map((id) => event(id).join(''));
  const handle = (arrival: Arrival) => {
    const isResumed = arrival.header('last-event-id') !== undefined;
    const socket = writeRawAnswer(arrival, CHUNKED, chunk(isResumed ? third! : first!));
    const rest = isResumed ? chunk('') : `${chunk(second!)}no chunk\r\n`;
    setTimeout(() => socket.write(rest), 50);
  };
  await withDeployment([handle, handle], async ({ call, servers }) => {
    const answer = await call('/stream/1', { method: 'POST' });
    assert.deepEqual([answer.complete, answer.body], [true, `${first}${second}${third}`]);
    const arrivals = servers.flatMap((server) => server.arrivals);
    assert.deepEqual(
      arrivals.map(({ header }) => header('last-event-id')),
      [undefined, '2'],
    );
  });
});

/** Starts an attempt at a stream; `onWrite` is called for each write to its caller. */
function startStream(
  connections: ServerConnections,
  port: number,
  onWrite: (bytes: Buffer) => void,
): RunningAttempt {
  return startAttempt(
    connections,
    {
      method: 'GET',
      path: '/',
      headers: ['Host', 'a.example', 'Attempt-Id', 'a1'],
      body: Buffer.alloc(0),
      attemptId: 'a1',
      streaming: true,
      streamJoin: createStreamJoin({ isResumable: false, resumeAfter: undefined }),
      isResumed: false,
      host: '127.0.0.1',
      port,
      maxIdleMs: undefined,
      usedSockets: new Set(),
    },
    {
      isHeadSent: () => true,
      writeHead: () => undefined,
      write(bytes) {
        onWrite(bytes);
        return true;
      },
    },
    {
      onAnnounced: () => undefined,
      onBegun: () => undefined,
      onDelivered: () => undefined,
      onBodyEnded: () => undefined,
      onError: assert.ifError,
      onEnded: (_outcome, detail) => assert.fail(detail),
    },
  );
}

test('each turn of the event loop handles the pieces of one read of one flooding connection', async (t) => {
  const server = await createServerStandin((arrival) =>
    repeat(writeRawAnswer(arrival, CHUNKED, ''), chunk(': x\n\n')),
  );
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections: 9,
    responseBytes: 32 * 1024 * 1024,
  });
  const writes: { turn: number; stream: number }[] = [];
  let turn = 0;
  let isRunning = true;
  const countTurn = (): void => {
    turn += 1;
    if (isRunning) setImmediate(countTurn);
  };
  countTurn();
  const streams = range(3).map((stream) =>
    startStream(connections, server.port, () => writes.push({ turn, stream })),
  );
  t.after(() => {
    isRunning = false;
    streams.forEach((stream) => stream.cancel());
    connections.close();
    server.close();
  });
  const writesOf = (stream: number) => writes.filter((write) => write.stream === stream);
  await waitUntil(() => range(3).every((stream) => writesOf(stream).length > 20));
  // The first two reads of each aren't known to be crowded.
  const crowded = range(3).flatMap((stream) => writesOf(stream).slice(2));
  const turns = new Set(crowded.map((write) => write.turn));
  assert.equal(turns.size, crowded.length);
});
