/** Guards against whole answers on routes of streams that are replaced, and against foreign bytes in a stream's first run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { withDeployment } from '../standins/deployment.js';
import { signedHeaders, writeRawAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const formatEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const EVENT_STREAM_LINE = 'Content-Type: text/event-stream';
const SECOND_HEAD = 'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nstale';
const PATHS = ['/stream/1', '/talk/1'];
/** Callers' requests for a whole stream and for the rest of one. */
const RESUMPTIONS: Record<string, string>[] = [{}, { 'Last-Event-Id': '4' }];

/** Whole answers that aren't event streams: status, headers and body. */
const WHOLE_ANSWERS: [number, Record<string, string>, string][] = [
  [204, {}, ''],
  [200, { 'Content-Type': 'application/json' }, '{"events": 0}\n\n{}'],
  [200, { 'Content-Type': 'text/html; charset=utf-8' }, '<p>'],
  [202, { 'Content-Type': 'application/json', 'Content-Length': '2' }, '{}'],
  [200, { 'Content-Type': 'text/event-stream', 'Content-Length': '0' }, ''],
  [200, { 'Content-Type': 'text/event-stream' }, ''],
];

// Guards against a server's signed answer that the router replaces by a failure, after which a resumable request runs again.
test('passes on whole answers of servers that send no event stream', async () => {
  for (const [status, headers, body] of WHOLE_ANSWERS) {
    const handle = (arrival: Arrival) => {
      arrival.res.writeHead(status, signedHeaders(arrival, headers));
      arrival.res.end(body);
    };
    await withDeployment([handle, handle], async ({ call, servers }) => {
      let calls = 0;
      for (const path of PATHS) {
        for (const resumption of RESUMPTIONS) {
          const answer = await call(path, { method: 'POST', headers: resumption });
          assert.deepEqual(
            [answer.status, answer.body, answer.complete, answer.headers['response-signature']],
            [status, body, true, 'sig'],
            `${path} ${JSON.stringify(headers)}`,
          );
          calls += 1;
        }
      }
      assert.equal(servers.flatMap(({ arrivals }) => arrivals).length, calls);
    });
  }
});

// Guards against a whole answer of another type that ends early and looks complete.
test('answers with 502 if an answer that is no event stream ends early', async () => {
  const lines = ['Content-Type: application/json', 'Content-Length: 20'];
  const endings: Record<string, (arrival: Arrival) => void> = {
    end: (arrival) => writeRawAnswer(arrival, lines, '{"a": 1').end(),
    reset: (arrival) => {
      const socket = writeRawAnswer(arrival, lines.slice(0, 1), '{"a"');
      socket.write(': 1', () => socket.resetAndDestroy());
    },
  };
  for (const handle of Object.values(endings)) {
    await withDeployment([handle, handle], async ({ call }) => {
      for (const path of PATHS) {
        const answer = await call(path, { method: 'POST' });
        assert.deepEqual([answer.status, JSON.parse(answer.body).ran], [502, 'unknown'], path);
      }
    });
  }
});

/** Bodies of first runs with bytes that are no event: the body, and what the caller may receive of it. */
const FOREIGN_BODIES: [string, string][] = [
  [SECOND_HEAD, ''],
  [formatEvent(1) + SECOND_HEAD, formatEvent(1)],
  [`${formatEvent(1)}<html>\n\n`, formatEvent(1)],
];

// Guards against a second head in the body of a stream that ends with its connection and looks complete.
test('breaks a stream off before bytes that are no event', async () => {
  for (const [body, expected] of FOREIGN_BODIES) {
    const handle = (arrival: Arrival) => {
      const socket = writeRawAnswer(arrival, [EVENT_STREAM_LINE, 'Connection: close'], expected);
      setTimeout(() => socket.end(body.slice(expected.length)), 20);
    };
    await withDeployment([handle], async ({ call, logLines }) => {
      for (const path of PATHS) {
        const answer = await call(path, { method: 'POST' });
        if (expected === '') assert.equal(answer.status, 502);
        else assert.deepEqual([answer.complete, answer.body], [false, expected], path);
      }
      const details = logLines.flatMap(({ event, fields }) =>
        event === 'attempt-ended' ? fields.detail : [],
      );
      // Each path has at least one; the resumable stream is sent again.
      assert.ok(details.filter((detail) => detail === 'malformed event').length >= PATHS.length);
    });
  }
});

// Guards against events that come twice in one run, and against ids that are judged where a stream is never continued.
test('continues a resumable stream elsewhere before an id that falls, and passes on others as they are', async () => {
  const handle = (arrival: Arrival) => {
    arrival.res.writeHead(200, signedHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
    if (arrival.header('last-event-id') !== undefined) arrival.res.end(formatEvent(3));
    else {
      arrival.res.write(formatEvent(1) + formatEvent(2));
      setTimeout(() => arrival.res.end(formatEvent(1)), 20);
    }
  };
  await withDeployment([handle, handle], async ({ call }) => {
    const resumed = await call('/stream/1', { method: 'POST' });
    assert.deepEqual([resumed.complete, resumed.body], [true, [1, 2, 3].map(formatEvent).join('')]);
    const unchanged = await call('/talk/1', { method: 'POST' });
    assert.deepEqual(
      [unchanged.complete, unchanged.body],
      [true, [1, 2, 1].map(formatEvent).join('')],
    );
  });
});

/** Answers to a caller that has the events up to the fourth: the body, and whether it continues the stream. */
const RESUMED_BODIES: [string, boolean][] = [
  [formatEvent(5) + formatEvent(6), true],
  [formatEvent(4) + formatEvent(5), false],
  [formatEvent(1), false],
  ['data: x\n\n', false],
  [SECOND_HEAD, false],
];

// Guards against events that a caller has already, or another response, in the rest of a stream that the caller resumes.
test('passes on only what continues the stream that a caller resumes', async () => {
  for (const [body, isContinuation] of RESUMED_BODIES) {
    const handle = (arrival: Arrival) => {
      arrival.res.writeHead(200, signedHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
      arrival.res.end(body);
    };
    await withDeployment([handle, handle], async ({ call, servers }) => {
      const answer = await call('/stream/1', {
        method: 'POST',
        headers: { 'Last-Event-Id': '4' },
      });
      const arrivals = servers.flatMap((server) => server.arrivals);
      if (isContinuation) assert.deepEqual([answer.status, answer.body], [200, body]);
      else assert.deepEqual([answer.status, JSON.parse(answer.body).ran], [502, 'unknown']);
      assert.equal(arrivals.length, isContinuation ? 1 : 2);
    });
  }
});
