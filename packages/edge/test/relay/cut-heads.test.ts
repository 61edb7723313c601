/** Guards against answers whose head or body is cut, and that reach callers as whole or as not run. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { withDeployment } from '../standins/deployment.js';
import type { Arrival } from '../standins/server-standin.js';

const formatEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const CHUNK = '5\r\nwhole\r\n0\r\n\r\n';

const signedLines = (attemptId: string) => [
  'HTTP/1.1 200 OK',
  `Attempt-Id: ${attemptId}`,
  'Response-Signature: sig',
  'Content-Type: text/event-stream',
];
const toHead = (lines: string[]) => `${lines.join('\r\n')}\r\n\r\n`;

/** Forms of a head with the id of the attempt. */
const HEADS: Record<string, (attemptId: string) => string> = {
  'with a length': (id) => toHead([...signedLines(id), 'Content-Length: 5']),
  'with chunks': (id) => toHead([...signedLines(id), 'Transfer-Encoding: chunked']),
  'ended by the connection': (id) => toHead([...signedLines(id), 'Connection: close']),
  'after a 103': (id) =>
    `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${toHead([...signedLines(id), 'Content-Length: 5'])}`,
  'with folded and repeated lines': (id) =>
    toHead([...signedLines(id), 'X-Folded: a', ' b', 'X-Folded:', 'Content-Length:\t5']),
};

const ENDINGS: Record<string, (socket: Socket) => void> = {
  ended: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

/** Statuses that guarantee that the request didn't run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const MAX_RUNS = { any: 2, once: 1, stream: 2, talk: 1 };
/** Step between the offsets at which heads are cut; it differs from the length of each line. */
const OFFSET_STEP = 9;
const OFFSETS_AT_ONCE = 4;
/** Enough that most requests run, although a server that cut two answers isn't used for a while. */
const SERVERS = 12;

type CutAnswer = (arrival: Arrival, ending: string, offset: number) => void;

/** Sends requests for all offsets, routes and endings at once, which the path states, and checks their answers. */
async function checkCutAnswers(offsets: number[], cutAnswer: CutAnswer): Promise<void> {
  const handle = (arrival: Arrival) => {
    const [, , ending, offset] = arrival.req.url!.split('/');
    cutAnswer(arrival, ending!, Number(offset));
  };
  const handlers = Array.from({ length: SERVERS }, () => handle);
  for (const ending of Object.keys(ENDINGS)) {
    await withDeployment(handlers, async ({ call, servers }) => {
      const check = async (route: keyof typeof MAX_RUNS, offset: number) => {
        const path = `/${route}/${ending}/${offset}`;
        const answer = await call(path, { method: 'POST', body: path });
        const runs = servers
          .flatMap(({ arrivals }) => arrivals)
          .filter(({ req }) => req.url === path).length;
        const isWhole = answer.status < 300 && answer.complete;
        assert.equal(isWhole, false, `${path}: ${answer.status} ${answer.body}`);
        const isPromise = NOT_RUN_STATUSES.includes(answer.status);
        assert.ok(runs === 0 || !isPromise, `${path}: ${answer.status} after ${runs} runs`);
        assert.ok(runs <= MAX_RUNS[route], `${path}: ${runs} runs`);
        return runs > 0;
      };
      const routes = Object.keys(MAX_RUNS) as (keyof typeof MAX_RUNS)[];
      const haveRun = await Promise.all(
        offsets.flatMap((offset) => routes.map((route, index) => check(route, offset + index))),
      );
      // Others find their servers full or unreachable.
      assert.ok(haveRun.filter(Boolean).length >= haveRun.length / 2);
    });
  }
}

for (const [form, createHead] of Object.entries(HEADS)) {
  // Guards against a 200 with an empty or short body in place of an answer whose head never arrived completely.
  test(`answers with no success and no promise if a head ${form} is cut`, async () => {
    const lastOffset = createHead('a1').length - Object.keys(MAX_RUNS).length;
    const count = Math.ceil(lastOffset / OFFSET_STEP);
    const offsets = Array.from({ length: count }, (_none, index) => index * OFFSET_STEP);
    const cutHead: CutAnswer = (arrival, ending, offset) => {
      const { socket } = arrival.req;
      const head = createHead(arrival.header('attempt-id') ?? '');
      const end = () => ENDINGS[ending]!(socket);
      if (offset === 0) end();
      else socket.write(head.slice(0, offset), end);
    };
    for (let start = 0; start < offsets.length; start += OFFSETS_AT_ONCE)
      await checkCutAnswers(offsets.slice(start, start + OFFSETS_AT_ONCE), cutHead);
  });
}

/** Answers whose body isn't whole, or whose framing can't be read, by name. */
const CUT_BODIES: Record<string, (attemptId: string) => string> = {
  'a length and too few bytes': (id) =>
    `${toHead([...signedLines(id), 'Content-Length: 40'])}${formatEvent(1)}`,
  'a length and no bytes': (id) => toHead([...signedLines(id), 'Content-Length: 40']),
  'chunks without an end': (id) =>
    `${toHead([...signedLines(id), 'Transfer-Encoding: chunked'])}${CHUNK.slice(0, 10)}`,
  'a cut chunk size': (id) => `${toHead([...signedLines(id), 'Transfer-Encoding: chunked'])}10`,
  'a cut trailer': (id) =>
    `${toHead([...signedLines(id), 'Transfer-Encoding: chunked'])}0\r\nX-Trailer: a`,
  'a length that is no number': (id) => toHead([...signedLines(id), 'Content-Length: 0x']),
  'two lengths': (id) =>
    `${toHead([...signedLines(id), 'Content-Length: 5', 'Content-Length: 3'])}whole`,
  'a length and chunks': (id) =>
    `${toHead([...signedLines(id), 'Content-Length: 5', 'Transfer-Encoding: chunked'])}${CHUNK}`,
};

for (const [name, createAnswer] of Object.entries(CUT_BODIES)) {
  // Guards against a short body that is framed as whole.
  test(`answers with no success if an answer has ${name}`, async () => {
    await checkCutAnswers([0], (arrival, ending) => {
      const { socket } = arrival.req;
      socket.write(createAnswer(arrival.header('attempt-id') ?? ''), () => {
        // Time to read the answer before a reset overtakes it.
        setTimeout(() => ENDINGS[ending]!(socket), 5);
      });
    });
  });
}

/** Trailer sections behind a whole chunked body. Versions of the parser differ in which of them they refuse. */
const TRAILERS: Record<string, string[]> = {
  'other fields': ['X-Trailer: a', 'Response-Signature: x'],
  'a length': ['Content-Length: 3', 'Response-Signature: x'],
  'two lengths': ['Content-Length: 3', 'Content-Length: 4'],
  'a length that is no number': ['Content-Length: 0x'],
  'a transfer coding': ['Transfer-Encoding: chunked'],
  'an unknown transfer coding twice': ['Transfer-Encoding: odd', 'Transfer-Encoding: odd'],
  'a length and a transfer coding': ['Transfer-Encoding: chunked', 'Content-Length: 3'],
};
const ROUND_COUNT = 3;

for (const [name, trailers] of Object.entries(TRAILERS)) {
  // Guards against a whole answer that is reported as unknown, or framed anew, because of a field in its trailers.
  test(`passes on a chunked answer with extensions and ${name} in its trailers`, async () => {
    const handle = ({ req, header }: Arrival) => {
      const isStream = /^\/(stream|talk)\//.test(req.url!);
      const body = isStream ? formatEvent(1) : req.url!;
      const head = toHead([
        ...signedLines(header('attempt-id')!).slice(0, isStream ? 4 : 3),
        'Transfer-Encoding: chunked',
      ]);
      const size = body.length.toString(16);
      req.socket.write(`${head}${size};a=b\r\n${body}\r\n0\r\n${trailers.join('\r\n')}\r\n\r\n`);
    };
    await withDeployment([handle], async ({ call, servers, logLines }) => {
      // Several, so that requests follow on the connection of such an answer.
      for (let round = 0; round < ROUND_COUNT; round += 1)
        for (const route of Object.keys(MAX_RUNS)) {
          const path = `/${route}/${round}`;
          const answer = await call(path, { method: 'POST' });
          const isStream = route === 'stream' || route === 'talk';
          assert.deepEqual(
            [answer.status, answer.complete, answer.body, answer.headers['response-signature']],
            [200, true, isStream ? formatEvent(1) : path, 'sig'],
            path,
          );
        }
      const requestCount = ROUND_COUNT * Object.keys(MAX_RUNS).length;
      assert.equal(servers[0]!.arrivals.length, requestCount);
      const ignored = logLines.filter(({ event }) => event === 'framing-trailer-ignored');
      assert.equal(ignored.length, name === 'other fields' ? 0 : requestCount);
    });
  });
}
