/** Guards against runs of a stream that are joined although the second one doesn't continue the first. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sampleDocument, waitUntil, withDeployment } from '../standins/deployment.js';
import type { CallerAnswer, Deployment } from '../standins/deployment.js';
import { signedHeaders, writeRawAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const EVENT_STREAM = { 'Content-Type': 'text/event-stream' };
const EVENT_STREAM_LINE = 'Content-Type: text/event-stream';
const LAST_EVENT = 10;

const formatEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const formatEvents = (from: number, to: number) =>
  Array.from({ length: to - from + 1 }, (_none, index) => formatEvent(from + index)).join('');

/** Ends of a connection in the middle of a chunked body. */
const BREAKS: Record<string, (arrival: Arrival) => void> = {
  end: ({ req }) => req.socket.end(),
  reset: ({ req }) => req.socket.resetAndDestroy(),
};

type Answer = (arrival: Arrival) => void;

/** Returns the handler of a server whose stream breaks off behind `text`, and which answers a resumption with `answer`. */
function createHandler(text: string, breakOff: Answer, answer: Answer): Answer {
  return (arrival) => {
    if (arrival.header('last-event-id') !== undefined) answer(arrival);
    else {
      arrival.res.writeHead(200, signedHeaders(arrival, EVENT_STREAM));
      arrival.res.write(text);
      setTimeout(() => breakOff(arrival), 20);
    }
  };
}

/** Calls a resumable stream at two servers, of which one begins it and the other is asked to continue it. */
async function callJoined(
  text: string,
  breakOff: Answer,
  answer: Answer,
): Promise<{ answer: CallerAnswer; details: unknown[]; lastEventIds: unknown[] }> {
  const handle = createHandler(text, breakOff, answer);
  const result = { details: [] as unknown[], lastEventIds: [] as unknown[] };
  let callerAnswer: CallerAnswer | undefined;
  await withDeployment([handle, handle], async ({ call, logLines, servers }: Deployment) => {
    callerAnswer = await call('/stream/1', { method: 'POST' });
    result.details = logLines
      .filter(({ event }) => event === 'attempt-ended')
      .map(({ fields }) => fields.detail);
    result.lastEventIds = servers
      .flatMap(({ arrivals }) => arrivals)
      .flatMap(({ header }) => header('last-event-id') ?? []);
  });
  return { answer: callerAnswer!, ...result };
}

function sendStream(arrival: Arrival, body: string, headers: Record<string, string> = {}): void {
  arrival.res.writeHead(200, signedHeaders(arrival, { ...EVENT_STREAM, ...headers }));
  arrival.res.end(body);
}

function sendStatus(arrival: Arrival, status: number): void {
  arrival.res.writeHead(status, signedHeaders(arrival, EVENT_STREAM));
  arrival.res.end();
}

const SECOND_HEAD = 'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\n';

/** Answers that don't continue a stream behind its third event, by name, with the end of the attempt's `detail`. */
const NO_CONTINUATIONS: Record<string, [Answer, string]> = {
  'a status 204': [(arrival) => sendStatus(arrival, 204), 'not a continuation'],
  'no event and a length of 0': [
    (arrival) => sendStream(arrival, '', { 'Content-Length': '0' }),
    'end of stream not proven',
  ],
  'no event in a chunked body': [(arrival) => sendStream(arrival, ''), 'end of stream not proven'],
  'no event, ended by its connection': [
    (arrival) => writeRawAnswer(arrival, [EVENT_STREAM_LINE, 'Connection: close'], '').end(),
    'end of stream not proven',
  ],
  'a comment, ended by its connection': [
    (arrival) => writeRawAnswer(arrival, [EVENT_STREAM_LINE, 'Connection: close'], ': x\n\n').end(),
    'end of stream not proven',
  ],
  'another content type': [
    (arrival) => sendStream(arrival, formatEvents(4, LAST_EVENT), { 'Content-Type': 'text/html' }),
    'not a continuation',
  ],
  'a second head': [
    (arrival) => sendStream(arrival, SECOND_HEAD + formatEvents(4, LAST_EVENT)),
    'malformed event',
  ],
  'an event without an id': [
    (arrival) => sendStream(arrival, `data: x\n\n${formatEvents(4, LAST_EVENT)}`),
    'event without id',
  ],
  'a comment and an event without an id': [
    (arrival) => sendStream(arrival, ': x\n\ndata: x\n\n'),
    'event without id',
  ],
  'the first event again': [
    (arrival) => sendStream(arrival, formatEvents(1, LAST_EVENT)),
    'event id not increasing',
  ],
  'the last event again': [
    (arrival) => sendStream(arrival, formatEvents(3, LAST_EVENT)),
    'event id not increasing',
  ],
  'events left out': [
    (arrival) => sendStream(arrival, formatEvents(6, LAST_EVENT)),
    'events missing',
  ],
};

for (const [name, [answer, detail]] of Object.entries(NO_CONTINUATIONS)) {
  for (const [breakName, breakOff] of Object.entries(BREAKS)) {
    // Guards against streams that are complete with events missing, repeated or of another response.
    test(`breaks a stream off if the answer that should continue it has ${name}, after a connection ${breakName}`, async () => {
      const { answer: received, details } = await callJoined(formatEvents(1, 3), breakOff, answer);
      assert.deepEqual([received.complete, received.body], [false, formatEvents(1, 3)]);
      assert.equal(details.length, 2);
      assert.ok(String(details[1]).endsWith(detail), String(details[1]));
    });
  }
}

/** Continuations that are sound, by name: what the first run sent, the answer, and the events that the caller receives. */
const CONTINUATIONS: Record<string, [string, Answer, string]> = {
  'the events that are left': [
    formatEvents(1, 3),
    (arrival) => sendStream(arrival, formatEvents(4, LAST_EVENT)),
    formatEvents(1, LAST_EVENT),
  ],
  'a comment and the events that are left': [
    formatEvents(1, 3),
    (arrival) => sendStream(arrival, `: x\n\n${formatEvents(4, LAST_EVENT)}`),
    `${formatEvents(1, 3)}: x\n\n${formatEvents(4, LAST_EVENT)}`,
  ],
  'a version line in an event': [
    formatEvents(1, 3),
    (arrival) => sendStream(arrival, `weight-versions: 7\n${formatEvents(4, LAST_EVENT)}`),
    `${formatEvents(1, 3)}weight-versions: 7\n${formatEvents(4, LAST_EVENT)}`,
  ],
  'ids with gaps, as before': [
    formatEvent(1) + formatEvent(4),
    (arrival) => sendStream(arrival, formatEvent(9)),
    formatEvent(1) + formatEvent(4) + formatEvent(9),
  ],
};

for (const [name, [text, answer, expected]] of Object.entries(CONTINUATIONS)) {
  // Guards against sound streams that are broken off.
  test(`completes a stream whose continuation has ${name}`, async () => {
    for (const breakOff of Object.values(BREAKS)) {
      const { answer: received } = await callJoined(text, breakOff, answer);
      assert.deepEqual([received.complete, received.body], [true, expected]);
    }
  });
}

// Guards against a stream that ends as complete although the run before had begun another event.
test('breaks a stream off if a run broke inside an event and the next one has none', async () => {
  const { answer, details } = await callJoined(
    `${formatEvents(1, 3)}id: 4\nda`,
    BREAKS.reset!,
    (arrival) => sendStream(arrival, ''),
  );
  assert.deepEqual([answer.complete, answer.body], [false, formatEvents(1, 3)]);
  assert.deepEqual(details.at(-1), 'end of stream not proven');
});

// Guards against an event that comes twice because no id states whether the run before had delivered it.
test('breaks a stream off whose last delivered event has no id', async () => {
  const text = `${formatEvents(1, 3)}data: x\n\n`;
  const { answer } = await callJoined(text, BREAKS.reset!, (arrival) =>
    sendStream(arrival, `data: x\n\n${formatEvents(4, LAST_EVENT)}`),
  );
  assert.deepEqual([answer.complete, answer.body], [false, text]);
});

// Guards against a second run that is delivered where its ids fall, or show that it left out the event at the join.
test('breaks a stream off inside its second run if the ids fall or left an event out', async () => {
  const falling = await callJoined(formatEvents(1, 3), BREAKS.reset!, (arrival) => {
    arrival.res.writeHead(200, signedHeaders(arrival, EVENT_STREAM));
    arrival.res.write(formatEvents(4, 6));
    setTimeout(() => arrival.res.end(formatEvents(5, LAST_EVENT)), 20);
  });
  assert.deepEqual([falling.answer.complete, falling.answer.body], [false, formatEvents(1, 6)]);
  const gap = await callJoined(formatEvent(1), BREAKS.reset!, (arrival) =>
    sendStream(arrival, formatEvents(3, LAST_EVENT)),
  );
  assert.deepEqual([gap.answer.complete, gap.details.at(-1)], [false, 'events missing']);
});

// Guards against a stream that isn't continued although a server could, because another one answered with something else.
test('continues a stream at a third server if the second one does not continue it', async () => {
  let answers = 0;
  const handle = createHandler(formatEvents(1, 3), BREAKS.reset!, (arrival) => {
    answers += 1;
    if (answers === 1) sendStatus(arrival, 204);
    else sendStream(arrival, formatEvents(4, LAST_EVENT));
  });
  await withDeployment([handle, handle, handle], async ({ call, store, logLines }) => {
    const document = sampleDocument(2);
    const routes = document.routes.map((route) => ({ ...route, maxAttempts: 3 }));
    store.put('config', 'main', { ...document, routes });
    await waitUntil(
      () => logLines.filter(({ event }) => event === 'configuration-in-force').length === 2,
    );
    const answer = await call('/stream/1', { method: 'POST' });
    assert.deepEqual([answer.complete, answer.body], [true, formatEvents(1, LAST_EVENT)]);
    assert.equal(answers, 2);
  });
});
