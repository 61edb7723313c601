/** Guards against servers that send bytes without end: the caller gets a final answer, and memory and processor time stay bounded. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { createEventSplitter } from '@kingcupsill/core/event-stream';
import { createDeployment, PATIENT, waitUntil } from '../standins/deployment.js';
import { sendAnswer, signedHeaders, writeRawAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const BLOCK = Buffer.alloc(16 * 1024, 'x');
/** More than the router buffers of any response. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;

/** Writes `next()` until the other side closes the connection. */
function writeWithoutEnd(socket: Socket, next: () => Buffer | string): void {
  let sentBytes = 0;
  function writeMore(): void {
    while (!socket.destroyed && sentBytes < MAX_SENT_BYTES) {
      const bytes = next();
      sentBytes += bytes.length;
      if (!socket.write(bytes)) {
        socket.once('drain', writeMore);
        return;
      }
    }
  }
  // The router's reset is what the test waits for.
  socket.on('error', () => undefined);
  writeMore();
}

const hex = BLOCK.length.toString(16);

/** Ways to send bytes without end, by name. */
const ENDLESS: Record<string, (arrival: Arrival) => void> = {
  'a head': (arrival) => {
    const { socket } = arrival.req;
    socket.write('HTTP/1.1 200 OK\r\n');
    writeWithoutEnd(socket, () => `X-Filler: ${'x'.repeat(1000)}\r\n`);
  },
  'interim responses': (arrival) => {
    writeWithoutEnd(arrival.req.socket, () => 'HTTP/1.1 102 Processing\r\n\r\n');
  },
  'a chunked body': (arrival) => {
    const socket = writeRawAnswer(arrival, ['Transfer-Encoding: chunked'], '');
    writeWithoutEnd(socket, () => `${hex}\r\n${BLOCK.toString()}\r\n`);
  },
  'a body without a length': (arrival) => {
    writeWithoutEnd(writeRawAnswer(arrival, ['Connection: close'], ''), () => BLOCK);
  },
  'the body of a rejection': (arrival) => {
    const { socket } = arrival.req;
    socket.write('HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n');
    writeWithoutEnd(socket, () => `${hex}\r\n${BLOCK.toString()}\r\n`);
  },
  trailers: (arrival) => {
    const socket = writeRawAnswer(arrival, ['Transfer-Encoding: chunked'], '2\r\nok\r\n0\r\n');
    writeWithoutEnd(socket, () => `X-Filler: ${'x'.repeat(1000)}\r\n`);
  },
  'bytes behind an answer': (arrival) => {
    const socket = writeRawAnswer(arrival, ['Content-Length: 2'], 'ok');
    writeWithoutEnd(socket, () => BLOCK);
  },
};

for (const [name, sendEndless] of Object.entries(ENDLESS)) {
  test(`${name} without end: the connection is closed and the caller gets a whole final answer`, async () => {
    const deployment = await createDeployment([sendEndless]);
    try {
      for (const path of ['/once/1', '/stream/1']) {
        const startedAtMs = performance.now();
        const answer = await deployment.call(path, { method: 'POST' });
        const tookMs = performance.now() - startedAtMs;
        assert.ok(tookMs < 3000, `answered after ${tookMs} ms`);
        assert.ok([200, 502, 503].includes(answer.status), `status ${answer.status}`);
        if (answer.status === 200) assert.equal(answer.body, 'ok');
      }
      const { arrivals } = deployment.servers[0]!;
      await waitUntil(() => arrivals.every(({ req }) => req.socket.destroyed));
    } finally {
      await deployment.close();
    }
  });
}

test('other requests are served while half of the servers send without end', async () => {
  const endless = Object.values(ENDLESS);
  const handlers = endless.flatMap((sendEndless) => [sendEndless, sendAnswer]);
  const deployment = await createDeployment(handlers.map((handle) => (arrival) => handle(arrival)));
  try {
    await deployment.changeRoutes(PATIENT);
    const rssBefore = process.memoryUsage().rss;
    const answers = await Promise.all(
      Array.from({ length: 60 }, () => deployment.call('/any/1').then(({ status }) => status)),
    );
    const growthMb = (process.memoryUsage().rss - rssBefore) / 1024 / 1024;
    assert.ok(answers.filter((status) => status === 200).length >= 30, answers.join(' '));
    // The stand-ins run in the same process: their own send buffers count too.
    assert.ok(growthMb < 400, `memory grew by ${growthMb} MB`);
  } finally {
    await deployment.close();
  }
});

test('an event without an end is searched in linear time', () => {
  const splitter = createEventSplitter();
  const startedAtMs = performance.now();
  for (let sent = 0; sent < 32 * 1024 * 1024; sent += BLOCK.length) splitter.push(BLOCK);
  assert.equal(splitter.pendingBytes(), 32 * 1024 * 1024);
  // With a quadratic search, this takes more than 30 s.
  assert.ok(performance.now() - startedAtMs < 3000);
});

test('an event end that is split over two chunks is found', () => {
  const splitter = createEventSplitter();
  assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n')), undefined);
  const events = splitter.push(Buffer.from('\nid: 2'));
  assert.deepEqual(
    [events?.bytes.toString(), events?.blocks.map(({ id }) => id)],
    ['id: 1\ndata: a\n\n', ['1']],
  );
  assert.equal(splitter.remainder().toString(), 'id: 2');
});

test('a server that announces that it leaves gets no further request, and one that asks for time gets none until then', async () => {
  const announceLeaving = (arrival: Arrival) => {
    arrival.res.writeHead(
      200,
      signedHeaders(arrival, { 'Server-Leaving': '1', 'Content-Length': '2' }),
    );
    arrival.res.end('ok');
  };
  const askForTime = (arrival: Arrival) => {
    arrival.res.writeHead(503, { 'Not-Executed': '1', 'Retry-After': '60' });
    arrival.res.end();
  };
  const deployment = await createDeployment([announceLeaving, askForTime]);
  try {
    const answers = [];
    for (let index = 0; index < 8; index += 1) answers.push(await deployment.call('/any/1'));
    const counts = deployment.servers.map(({ arrivals }) => arrivals.length);
    assert.deepEqual(counts, [1, 1]);
    const last = answers.at(-1)!;
    assert.equal(last.status, 503);
    // Nothing can be served before the server that stays wants requests again.
    assert.ok(
      Number(last.headers['retry-after']) >= 55,
      `Retry-After ${String(last.headers['retry-after'])}`,
    );
  } finally {
    await deployment.close();
  }
});
