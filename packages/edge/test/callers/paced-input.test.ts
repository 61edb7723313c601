import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as afterTurn } from 'node:timers/promises';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import fc from 'fast-check';
import { createPacedInput } from '../../src/callers/paced-input.js';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { createRawCaller } from '../standins/raw-caller.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import type { LoggedLine } from '../standins/recording-logger.js';

const MAX_OPEN = 4;

/** Server that keeps its responses, with paced input. */
async function createPacedServer(t: TestContext, maxWaitingBytes = 1024 * 1024) {
  const logLines: LoggedLine[] = [];
  const bodies: string[] = [];
  const open: ServerResponse[] = [];
  let mostOpen = 0;
  const input = createPacedInput({
    clock: () => performance.now(),
    logger: createRecordingLogger(logLines),
    maxOpenRequests: MAX_OPEN,
    maxWaitingBytes,
  });
  const server = createServer((req, res) => {
    input.startRequest(req, res);
    open.push(res);
    mostOpen = Math.max(mostOpen, open.length);
    let body = '';
    req.on('data', (bytes: Buffer) => {
      body += bytes.toString('latin1');
    });
    req.on('end', () => bodies.push(`${req.url} ${body}`));
  });
  server.on('connection', input.add);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    logLines,
    bodies,
    mostOpen: () => mostOpen,
    answerAll: () => open.splice(0).forEach((res) => res.end()),
    forget() {
      bodies.length = 0;
      mostOpen = 0;
    },
    async connect(): Promise<Socket> {
      const socket = connect({ port, host: '127.0.0.1', noDelay: true });
      socket.on('error', () => undefined);
      socket.resume();
      await new Promise((resolve) => {
        socket.once('connect', resolve);
      });
      return socket;
    },
  };
}

/** Bodies with what looks like the end of a head or of a chunked body. */
const body = fc
  .array(fc.constantFrom('\r\n\r\n', '0\r\n\r\n', 'GET / HTTP/1.1\r\n\r\n', 'x'.repeat(90)), {
    maxLength: 6,
  })
  .map((parts) => parts.join(''));
const framing = fc.constantFrom('length', 'chunks', 'chunks with a trailer');

function formatRequest(path: string, text: string, kind: string): string {
  const head = (field: string) => `POST ${path} HTTP/1.1\r\nHost: a\r\n${field}\r\n\r\n`;
  if (kind === 'length') return `${head(`Content-Length: ${text.length}`)}${text}`;
  const chunk = text === '' ? '' : `${text.length.toString(16)}\r\n${text}\r\n`;
  const trailer = kind === 'chunks' ? '' : 'X-Trailer: a\r\n';
  return `${head('Transfer-Encoding: chunked')}${chunk}0\r\n${trailer}\r\n`;
}

// Guards against requests that are lost, joined or altered by the cuts between the parts that the parser gets.
test('requests sent ahead arrive whole and in order, a few at a time, however they are cut', async (t) => {
  const server = await createPacedServer(t);
  const sent = fc.array(fc.tuple(body, framing), { minLength: 1, maxLength: 12 });
  const cuts = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 6 });
  await fc.assert(
    fc.asyncProperty(sent, cuts, async (requests, fractions) => {
      server.forget();
      const socket = await server.connect();
      const text = requests
        .map(([content, kind], n) => formatRequest(`/${n}`, content, kind))
        .join('');
      const offsets = fractions
        .map((fraction) => Math.floor(fraction * text.length))
        .sort((a, b) => a - b);
      for (const [index, offset] of [0, ...offsets].entries()) {
        socket.write(text.slice(offset, offsets[index] ?? text.length));
        await afterTurn();
      }
      await waitUntil(async () => {
        await afterTurn();
        server.answerAll();
        return server.bodies.length === requests.length;
      });
      socket.destroy();
      assert.deepEqual(
        server.bodies,
        requests.map(([content], n) => `/${n} ${content}`),
      );
      // A part of a chunked body may hold its end and a few short requests.
      assert.ok(server.mostOpen() <= MAX_OPEN + 3, `${server.mostOpen()} open`);
    }),
    { seed: 20261206, numRuns: 60 },
  );
});

// Guards against callers without requests ahead that pay for those with many.
test('beyond the memory for what waits, connections with requests ahead are closed first', async (t) => {
  const server = await createPacedServer(t, 6000);
  const ahead = await server.connect();
  ahead.write(formatRequest('/ahead', '', 'length').repeat(100));
  await waitUntil(() => server.bodies.length === MAX_OPEN);
  const uploading = await server.connect();
  const head = formatRequest('/upload', '', 'chunks').split('0\r\n')[0]!;
  const bytes = '1\r\nx\r\n';
  uploading.write(head + bytes.repeat(9000));
  await waitUntil(() => ahead.closed);
  const lines = server.logLines.filter(({ event }) => event === 'caller-input-full');
  assert.deepEqual(lines.map(({ fields }) => fields.isReceivingBody)[0], false);
});

test('requests without a host or with an unknown expectation are refused, and the connection goes on', async () => {
  await withDeployment([], async (deployment) => {
    const caller = createRawCaller(deployment);
    const odd =
      'GET /any/1 HTTP/1.1\r\n\r\nGET /any/1 HTTP/1.1\r\nHost: a.example\r\nExpect: odd\r\n\r\n';
    caller.write(`${odd.repeat(30)}GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n`);
    await waitUntil(() => caller.received().includes('404 Not Found'));
    const statuses = [...caller.received().matchAll(/HTTP\/1\.1 (\d+)/g)].map(
      ([, status]) => status,
    );
    assert.deepEqual(statuses, [...Array.from({ length: 30 }, () => ['400', '417']).flat(), '404']);
    caller.close();
  });
});
