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

const fault = (kind: EngineFault['kind'], more: Partial<EngineFault> = {}): EngineFault => ({
  kind,
  durationMs: HOUR_MS,
  ...more,
});

function chat(attempt: string, prompt: string, stream: boolean): BackendRequest {
  const messages = [{ role: 'user', content: prompt }];
  return {
    attempt,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify({ model: 'standin-model', messages, stream })),
  };
}

async function textOf(answer: ResponseBuffer): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer.read(0)) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/** Runs a request and reads its answer. */
async function run(client: BackendClient, req: BackendRequest) {
  const answer = createResponseBuffer();
  const [end, text] = await Promise.all([client.run(req, answer), textOf(answer)]);
  return { end, text, head: await answer.waitForHead() };
}

/** Polls until the condition holds; a test that never gets there hits the runner's timeout. */
async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await holds())) await sleep(POLL_MS);
}

type Work = (engine: EngineStandin, client: BackendClient) => Promise<void>;

async function withEngine(work: Work): Promise<void> {
  const engine = await createEngineStandin({ timeScale: 5, cacheEventLoss: 0 });
  const client = createBackendClient({ url: engine.url, kind: BackendKind.Engine });
  try {
    await work(engine, client);
  } finally {
    await client.close();
    await engine.close();
  }
}

async function keptAnswer({ url }: EngineStandin, attempt: string): Promise<string> {
  const res = await request(`${url}/v1/requests/${attempt}/stream?offset=0`);
  assert.equal(res.statusCode, 200);
  return res.body.text();
}

const runsOf = (engine: EngineStandin, attempt: string) =>
  engine.journal().filter(({ requestId }) => requestId === attempt);

[true, false].forEach((stream) => {
  const form = stream ? 'streamed' : 'whole';

  test(`a crossed ${form} answer is replaced by the request's own`, () =>
    withEngine(async (engine, client) => {
      const other = await run(client, chat('r.1', '[[tokens=30]] the other', stream));
      assert.equal(other.end, RunEnd.Whole);
      engine.faults.add(fault('crossed-answers'));
      const own = await run(client, chat('r.2', '[[tokens=20]] mine', stream));
      assert.equal(own.end, RunEnd.Whole);
      assert.equal(own.head?.status, 200);
      assert.equal(own.text, await keptAnswer(engine, 'r.2'));
      assert.notEqual(own.text, other.text);
      assert.equal(runsOf(engine, 'r.2').length, 1);
    }));

  test(`a cut ${form} answer is resumed with the same bytes, and the request runs once`, () =>
    withEngine(async (engine, client) => {
      engine.faults.add(fault('cut-stream', { after: 5 }));
      const cut = await run(client, chat('r.1', '[[tokens=20]] cut', stream));
      assert.equal(cut.end, RunEnd.Whole);
      assert.equal(cut.text, await keptAnswer(engine, 'r.1'));
      assert.equal(runsOf(engine, 'r.1').length, 1);
    }));
});

test('an answer goes on after the engine froze', () =>
  withEngine(async (engine, client) => {
    const running = run(client, chat('r.1', '[[tokens=40]] freeze', true));
    await until(() => (runsOf(engine, 'r.1')[0]?.tokens ?? 0) > 2);
    engine.faults.add(fault('freeze', { durationMs: 200 }));
    const { end, text } = await running;
    assert.equal(end, RunEnd.Whole);
    assert.equal(text, await keptAnswer(engine, 'r.1'));
  }));

test('an answer that an engine lost in a crash is broken, never whole', () =>
  withEngine(async (engine, client) => {
    const running = run(client, chat('r.1', '[[tokens=200]] crash', true));
    await until(() => (runsOf(engine, 'r.1')[0]?.tokens ?? 0) > 2);
    engine.faults.add(fault('crash-lose-all', { durationMs: 1 }));
    assert.equal((await running).end, RunEnd.Broken);
    assert.equal((await run(client, chat('r.2', 'after', true))).end, RunEnd.Whole);
  }));

test('a request to an engine that is down has not run', async () => {
  const engine = await createEngineStandin({});
  await engine.close();
  const client = createBackendClient({ url: engine.url, kind: BackendKind.Engine });
  assert.equal((await run(client, chat('r.1', 'down', true))).end, RunEnd.NotRun);
  assert.equal(await client.sync(), false);
  await client.close();
});

test('a cancelled request leaves the engine', () =>
  withEngine(async (engine, client) => {
    const answer = createResponseBuffer();
    const running = client.run(chat('r.1', '[[tokens=5000]] cancel', true), answer);
    const reading = textOf(answer);
    await until(() => (runsOf(engine, 'r.1')[0]?.tokens ?? 0) > 2);
    await client.cancel('r.1');
    assert.equal(await running, RunEnd.Broken);
    await reading;
    assert.equal(runsOf(engine, 'r.1')[0]?.outcome, 'cancelled');
  }));

test('a sidecar started beside a busy engine is in step only when nothing foreign runs there', () =>
  withEngine(async (engine, client) => {
    const earlier = createBackendClient({ url: engine.url, kind: BackendKind.Engine });
    const running = run(earlier, chat('old.1', '[[tokens=5000]] earlier', true));
    await until(() => (runsOf(engine, 'old.1')[0]?.tokens ?? 0) > 2);
    assert.equal(await client.sync(), false);
    await until(() => client.sync());
    assert.equal(runsOf(engine, 'old.1')[0]?.outcome, 'cancelled');
    assert.equal((await running).end, RunEnd.Broken);
    await earlier.close();
  }));

test('a plain server gets each request once; a cut or crossed answer is broken', async () => {
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

test('a slow reader holds the backend server up, and memory stays bounded', async () => {
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
  const answer = createResponseBuffer({ maxUnreadBytes, retainedBytes });
  const req = { attempt: 'r.1', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) };
  const running = client.run(req, answer);
  let readBytes = 0;
  for await (const part of answer.read(0)) {
    readBytes += part.length;
    const aheadBytes = answer.length() - readBytes;
    assert.ok(aheadBytes <= maxUnreadBytes + chunk.length, `${aheadBytes} bytes unread`);
    assert.ok(readBytes - answer.startOffset() <= retainedBytes + 2 * chunk.length);
    if (readBytes % (1024 * 1024) < chunk.length) await sleep(1);
  }
  assert.equal(await running, RunEnd.Whole);
  assert.equal(readBytes, chunks * chunk.length);
  await client.close();
  server.close();
});
