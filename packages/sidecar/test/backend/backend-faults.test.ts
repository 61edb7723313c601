import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { createAppStandin, createEngineStandin } from '@kingcupsill/standins';
import type { EngineFault, EngineStandin } from '@kingcupsill/standins';
import { request } from 'undici';

import { createResponseBuffer } from '../../src/response/response-buffer.js';
import type { ResponseBuffer } from '../../src/response/types.js';
import { createBackendClient } from '../../src/backend/backend-client.js';
import { BackendKind, RunEnd } from '../../src/backend/types.js';
import type { BackendClient, BackendRequest } from '../../src/backend/types.js';

const POLL_MS = 5;
const HOUR_MS = 3_600_000;

const createFault = (
  kind: EngineFault['kind'],
  options: Partial<EngineFault> = {},
): EngineFault => ({
  kind,
  durationMs: HOUR_MS,
  ...options,
});

function chatRequest(attempt: string, prompt: string, stream: boolean): BackendRequest {
  const messages = [{ role: 'user', content: prompt }];
  return {
    attempt,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify({ model: 'standin-model', messages, stream })),
  };
}

async function readText(response: ResponseBuffer): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of response.read(0)) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/** Runs a request and reads its response. */
async function run(client: BackendClient, req: BackendRequest) {
  const response = createResponseBuffer();
  const [end, text] = await Promise.all([client.run(req, response), readText(response)]);
  return { end, text, head: await response.waitForHead() };
}

/** Polls until the condition is true. A condition that stays false ends in the test runner's timeout. */
async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(POLL_MS);
}

type EngineTest = (engine: EngineStandin, client: BackendClient) => Promise<void>;

/** Runs a test with an engine and its client, and closes both. */
async function withEngine(runTest: EngineTest): Promise<void> {
  const engine = await createEngineStandin({ timeScale: 5, cacheEventLoss: 0 });
  const client = createBackendClient({ url: engine.url, kind: BackendKind.Engine });
  try {
    await runTest(engine, client);
  } finally {
    await client.close();
    await engine.close();
  }
}

/** Reads the response that the engine keeps for an attempt. */
async function readKeptResponse({ url }: EngineStandin, attempt: string): Promise<string> {
  const res = await request(`${url}/v1/requests/${attempt}/stream?offset=0`);
  assert.equal(res.statusCode, 200);
  return res.body.text();
}

const requestsOf = (engine: EngineStandin, attempt: string) =>
  engine.journal().filter(({ requestId }) => requestId === attempt);

[true, false].forEach((stream) => {
  const form = stream ? 'streamed' : 'non-streamed';

  test(`replaces a ${form} response that belongs to another request by the request's own response`, () =>
    withEngine(async (engine, client) => {
      const other = await run(client, chatRequest('r.1', '[[tokens=30]] the other', stream));
      assert.equal(other.end, RunEnd.Whole);
      engine.faults.add(createFault('crossed-answers'));
      const own = await run(client, chatRequest('r.2', '[[tokens=20]] mine', stream));
      assert.equal(own.end, RunEnd.Whole);
      assert.equal(own.head?.status, 200);
      assert.equal(own.text, await readKeptResponse(engine, 'r.2'));
      assert.notEqual(own.text, other.text);
      assert.equal(requestsOf(engine, 'r.2').length, 1);
    }));

  test(`resumes a truncated ${form} response with the same bytes and runs the request once`, () =>
    withEngine(async (engine, client) => {
      engine.faults.add(createFault('cut-stream', { after: 5 }));
      const cut = await run(client, chatRequest('r.1', '[[tokens=20]] cut', stream));
      assert.equal(cut.end, RunEnd.Whole);
      assert.equal(cut.text, await readKeptResponse(engine, 'r.1'));
      assert.equal(requestsOf(engine, 'r.1').length, 1);
    }));
});

test('continues a response after the engine was frozen', () =>
  withEngine(async (engine, client) => {
    const runPromise = run(client, chatRequest('r.1', '[[tokens=40]] freeze', true));
    await waitUntil(() => (requestsOf(engine, 'r.1')[0]?.tokens ?? 0) > 2);
    engine.faults.add(createFault('freeze', { durationMs: 200 }));
    const { end, text } = await runPromise;
    assert.equal(end, RunEnd.Whole);
    assert.equal(text, await readKeptResponse(engine, 'r.1'));
  }));

test('reports a response lost in an engine crash as broken', () =>
  withEngine(async (engine, client) => {
    const runPromise = run(client, chatRequest('r.1', '[[tokens=200]] crash', true));
    await waitUntil(() => (requestsOf(engine, 'r.1')[0]?.tokens ?? 0) > 2);
    engine.faults.add(createFault('crash-lose-all', { durationMs: 1 }));
    assert.equal((await runPromise).end, RunEnd.Broken);
    assert.equal((await run(client, chatRequest('r.2', 'after', true))).end, RunEnd.Whole);
  }));

test('reports a request to an unreachable engine as not run', async () => {
  const engine = await createEngineStandin({});
  await engine.close();
  const client = createBackendClient({ url: engine.url, kind: BackendKind.Engine });
  assert.equal((await run(client, chatRequest('r.1', 'down', true))).end, RunEnd.NotRun);
  assert.equal(await client.sync(), false);
  await client.close();
});

test('cancels a running request in the engine', () =>
  withEngine(async (engine, client) => {
    const response = createResponseBuffer();
    const runPromise = client.run(chatRequest('r.1', '[[tokens=5000]] cancel', true), response);
    const readPromise = readText(response);
    await waitUntil(() => (requestsOf(engine, 'r.1')[0]?.tokens ?? 0) > 2);
    await client.cancel('r.1');
    assert.equal(await runPromise, RunEnd.Broken);
    await readPromise;
    assert.equal(requestsOf(engine, 'r.1')[0]?.outcome, 'cancelled');
  }));

test('sync cancels requests of an earlier client and succeeds only once none is running', () =>
  withEngine(async (engine, client) => {
    const earlier = createBackendClient({ url: engine.url, kind: BackendKind.Engine });
    const runPromise = run(earlier, chatRequest('old.1', '[[tokens=5000]] earlier', true));
    await waitUntil(() => (requestsOf(engine, 'old.1')[0]?.tokens ?? 0) > 2);
    assert.equal(await client.sync(), false);
    await waitUntil(() => client.sync());
    assert.equal(requestsOf(engine, 'old.1')[0]?.outcome, 'cancelled');
    assert.equal((await runPromise).end, RunEnd.Broken);
    await earlier.close();
  }));

test('sends each request to a plain server once and reports a truncated or mixed-up response as broken', async () => {
  const app = await createAppStandin({ meanWorkMs: 1 });
  const client = createBackendClient({ url: app.url, kind: BackendKind.Plain });
  const call = (attempt: string) =>
    run(client, { attempt, method: 'POST', path: '/x', headers: {}, body: Buffer.from(attempt) });
  assert.equal((await call('r.1')).end, RunEnd.Whole);
  app.faults.add({ kind: 'crossed-answers', durationMs: HOUR_MS });
  const crossed = await call('r.2');
  assert.equal(crossed.end, RunEnd.Broken);
  assert.equal(crossed.text, '');
  app.faults.clear();
  app.faults.add({ kind: 'cut-answer', durationMs: HOUR_MS });
  assert.equal((await call('r.3')).end, RunEnd.Broken);
  assert.equal(app.journal().length, 3);
  await client.close();
  await app.close();
});

test('a slow reader throttles the backend server, and memory use stays bounded', async () => {
  const chunk = Buffer.alloc(64 * 1024, 'x');
  const chunks = 512;
  const server = createServer((_req, res) => {
    void (async () => {
      for (let i = 0; i < chunks; i += 1) if (!res.write(chunk)) await once(res, 'drain');
      res.end();
    })();
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createBackendClient({ url, kind: BackendKind.Plain });
  const maxUnreadBytes = 256 * 1024;
  const retainedBytes = 1024 * 1024;
  const response = createResponseBuffer({ maxUnreadBytes, retainedBytes });
  const req = { attempt: 'r.1', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) };
  const runPromise = client.run(req, response);
  let readBytes = 0;
  for await (const part of response.read(0)) {
    readBytes += part.length;
    const unreadBytes = response.length() - readBytes;
    assert.ok(unreadBytes <= maxUnreadBytes + chunk.length, `${unreadBytes} bytes unread`);
    assert.ok(readBytes - response.startOffset() <= retainedBytes + 2 * chunk.length);
    if (readBytes % (1024 * 1024) < chunk.length) await sleep(1);
  }
  assert.equal(await runPromise, RunEnd.Whole);
  assert.equal(readBytes, chunks * chunk.length);
  await client.close();
  server.close();
});

/** Runs a request at a server that answers with these bytes and closes the connection. */
async function runRaw(response: string): Promise<RunEnd> {
  const server = createServer((req, res) => {
    req.resume();
    res.socket?.end(response);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = createBackendClient({ url: `http://127.0.0.1:${port}`, kind: BackendKind.Plain });
  const { end } = await run(client, chatRequest('a1', 'hello', true));
  await client.close();
  server.close();
  server.closeAllConnections();
  return end;
}

// Guards against a head that reaches the writer of the response, which throws for it.
test('a response whose head can not be passed on is broken', async () => {
  for (const line of ['q8 7f1: 0c', ': 0c']) {
    assert.equal(
      await runRaw(`HTTP/1.1 200 OK\r\n${line}\r\nContent-Length: 2\r\n\r\nok`),
      RunEnd.Broken,
    );
  }
});

// Guards against a broken-off stream that reaches its caller as a complete answer.
test('a stream that ends inside an event is broken, whatever its framing', async () => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';
  assert.equal(await runRaw(`${head}data: 1\n\ndata: 2`), RunEnd.Broken);
  assert.equal(await runRaw(`${head}data: 1\n\ndata: 2\n\n`), RunEnd.Whole);
});
