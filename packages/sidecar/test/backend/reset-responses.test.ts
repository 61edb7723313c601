/** Guards against a response without a length that is cut by a reset and reported as whole. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';

import { createBackendClient } from '../../src/backend/backend-client.js';
import { BackendKind, RunEnd } from '../../src/backend/types.js';
import { createResponseBuffer } from '../../src/response/response-buffer.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n';
const RUNS = 20;

/** Runs requests at a plain server and returns the ends of their responses. */
async function runAll(
  respond: (socket: Socket) => void,
  body: Buffer = Buffer.alloc(0),
): Promise<RunEnd[]> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createBackendClient({ url, kind: BackendKind.Plain });
  const ends: RunEnd[] = [];
  for (let index = 0; index < RUNS; index += 1) {
    const req = {
      attempt: `a${index}`,
      method: body.length > 0 ? 'POST' : 'GET',
      path: '/',
      headers: {},
      body,
    };
    const response = createResponseBuffer();
    const run = client.run(req, response);
    for await (const chunk of response.read(0)) assert.ok(chunk.length > 0);
    ends.push(await run);
  }
  await client.close();
  server.close();
  return ends;
}

const allEnds = (end: RunEnd) => Array.from({ length: RUNS }, () => end);

test('a response without a length whose connection is reset right behind its data is broken', async () => {
  const behindBody = await runAll((socket) => {
    socket.write(`${HEAD}par`);
    setTimeout(() => socket.write('t', () => socket.resetAndDestroy()), 5);
  });
  assert.deepEqual(behindBody, allEnds(RunEnd.Broken));
  const behindHead = await runAll((socket) => {
    socket.write(`${HEAD}part`, () => socket.resetAndDestroy());
  });
  assert.deepEqual(behindHead, allEnds(RunEnd.Broken));
});

test('a response without a length that ends with its connection is whole', async () => {
  assert.deepEqual(await runAll((socket) => socket.end(`${HEAD}part`)), allEnds(RunEnd.Whole));
});

const BODY_BYTES = 4 * 1024 * 1024;

/** Runs one request at a server that responds with a long body without a length, and reads the body more slowly than it arrives. */
async function runSlowly(finish: (socket: Socket) => void): Promise<[RunEnd, number]> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.write(HEAD);
    socket.write(Buffer.alloc(BODY_BYTES, 'x'), () => finish(socket));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createBackendClient({ url, kind: BackendKind.Plain });
  const req = { attempt: 'a', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) };
  const response = createResponseBuffer();
  const run = client.run(req, response);
  for await (const chunk of response.read(0)) {
    assert.ok(chunk.length > 0);
    await new Promise(setImmediate);
    await new Promise(setImmediate);
  }
  const end = await run;
  await client.close();
  server.close();
  return [end, response.length()];
}

test('a long response without a length that is read slowly is whole, unless it is reset', async () => {
  assert.deepEqual(await runSlowly((socket) => socket.end()), [RunEnd.Whole, BODY_BYTES]);
  const [end] = await runSlowly((socket) => socket.resetAndDestroy());
  assert.equal(end, RunEnd.Broken);
});

// Guards against part of a response that is reported as whole, since its server has responded and left during a long upload (issue 60).
test('a response without a length whose connection is reset during the upload is broken', async () => {
  const upload = Buffer.alloc(8 * 1024 * 1024, 'x');
  const ways: ((socket: Socket) => void)[] = [
    (socket) => socket.write(`${HEAD}part`, () => socket.resetAndDestroy()),
    (socket) => {
      socket.pause();
      socket.write(`${HEAD}part`);
      setTimeout(() => socket.resetAndDestroy(), 5);
    },
    (socket) => {
      socket.pause();
      socket.write(`${HEAD}part`, () => socket.destroy());
    },
  ];
  for (const respond of ways)
    assert.deepEqual(await runAll(respond, upload), allEnds(RunEnd.Broken));
});

// Guards against a status that is none and reaches callers as a response (issue 60).
test('a response whose status is none is broken', async () => {
  for (const status of ['000', '099', '600', '999']) {
    const head = HEAD.replace('200', status).replace('Connection: close', 'Content-Length: 4');
    const ends = await runAll((socket) => socket.end(`${head}part`));
    assert.deepEqual(ends, allEnds(RunEnd.Broken), status);
  }
});
