import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { request } from 'undici';
import { createEngineStandin, createPlatformStandin, expectedAnswer } from '../../src/index.js';
import type { EngineFault, EngineOptions, EngineStandin } from '../../src/index.js';
import { withStandin } from '../with-standin.js';

const withEngine = (options: EngineOptions, run: (engine: EngineStandin) => Promise<void>) =>
  withStandin(createEngineStandin({ timeScale: 10, cacheEventLoss: 0, ...options }), run);

const send = (engine: EngineStandin, id: string, content: string, fields = {}) =>
  request(`${engine.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'x-request-id': id, 'x-bench-request': `bench-${id}` },
    body: JSON.stringify({
      model: 'standin-model',
      messages: [{ role: 'user', content }],
      ...fields,
    }),
  });

const call = async (engine: EngineStandin, method: 'GET' | 'POST', path: string, body?: object) => {
  const res = await request(`${engine.url}${path}`, { method, body: JSON.stringify(body) });
  return { status: res.statusCode, text: await res.body.text(), headers: res.headers };
};

const contentOf = (stream: string): string =>
  stream
    .split('\n\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as OpenAiChunk)
    .map(({ choices }) => choices[0]?.delta.content ?? '')
    .join('');

interface OpenAiChunk {
  choices: { delta: { content?: string } }[];
}

/** Polls until the condition holds; otherwise the test fails by the timeout of the test runner. */
const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  while (!(await condition())) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
};

const HOUR_MS = 3_600_000;
const lastingFault = (
  kind: EngineFault['kind'],
  fields: Partial<EngineFault> = {},
): EngineFault => ({
  kind,
  durationMs: HOUR_MS,
  ...fields,
});

test('a run continues after its stream is cut and can be resumed with identical bytes', () =>
  withEngine({ tokensPerChunk: 3 }, async (engine) => {
    const prompt = '[[tokens=20]] review';
    engine.faults.add(lastingFault('cut-stream', { after: 7 }));
    const res = await send(engine, 'r1', prompt, { stream: true });
    const received: Buffer[] = [];
    await assert.rejects(async () => {
      for await (const chunk of res.body) received.push(chunk as Buffer);
    });
    const receivedBytes = Buffer.concat(received);
    assert.ok(receivedBytes.length > 0);

    const fullStream = await call(engine, 'GET', '/v1/requests/r1/stream?offset=0');
    assert.equal(contentOf(fullStream.text), expectedAnswer(prompt, 20));
    assert.ok(fullStream.text.endsWith('data: [DONE]\n\n'));
    assert.equal(fullStream.headers['x-request-id'], 'r1');
    assert.equal(fullStream.text.slice(0, receivedBytes.length), receivedBytes.toString());
    const rest = await call(engine, 'GET', `/v1/requests/r1/stream?offset=${receivedBytes.length}`);
    assert.equal(receivedBytes.toString() + rest.text, fullStream.text);
    const offsetPastEnd = fullStream.text.length + 1;
    assert.equal(
      (await call(engine, 'GET', `/v1/requests/r1/stream?offset=${offsetPastEnd}`)).status,
      416,
    );

    const [entry] = engine.journal();
    assert.equal(engine.journal().length, 1);
    assert.deepEqual(
      [entry?.requestId, entry?.benchRequest, entry?.outcome, entry?.tokens],
      ['r1', 'bench-r1', 'cut', 20],
    );
  }));

test('a closed connection cancels the request only if cancelOnDisconnect is set', async () => {
  const disconnect = async (engine: EngineStandin) => {
    const res = await send(engine, 'r1', '[[tokens=5000]]', { stream: true });
    await once(res.body, 'readable');
    res.body.once('error', () => {});
    res.body.destroy();
  };
  await withEngine({ cancelOnDisconnect: true }, async (engine) => {
    await disconnect(engine);
    await waitUntil(() => engine.journal()[0]?.outcome === 'cancelled');
    assert.equal((await call(engine, 'GET', '/v1/requests/r1/stream')).status, 410);
  });
  await withEngine({}, async (engine) => {
    await disconnect(engine);
    const before = engine.journal()[0]?.tokens ?? 0;
    await waitUntil(() => (engine.journal()[0]?.tokens ?? 0) > before + 5);
    assert.equal(engine.journal()[0]?.outcome, 'running');
  });
});

test('cancelling a request ends its run and frees its batch slot', () =>
  withEngine({ maxBatch: 1 }, async (engine) => {
    const first = await send(engine, 'r1', '[[tokens=100000]]', { stream: true, max_tokens: 9000 });
    const second = send(engine, 'r2', '[[tokens=2]]');
    await waitUntil(async () => {
      const { text } = await call(engine, 'GET', '/v1/requests');
      return text === JSON.stringify({ running: [{ id: 'r1' }, { id: 'r2' }] });
    });
    const cancel = await call(engine, 'POST', '/v1/requests/r1/cancel');
    assert.deepEqual(JSON.parse(cancel.text), { id: 'r1', cancelled: true });
    await assert.rejects(first.body.text());
    assert.equal((await second).statusCode, 200);
    const repeatedCancel = await call(engine, 'POST', '/v1/requests/r1/cancel');
    assert.deepEqual(JSON.parse(repeatedCancel.text), { id: 'r1', cancelled: false });
    assert.equal((await call(engine, 'POST', '/v1/requests/other/cancel')).status, 404);
  }));

test('a crossed response has the answer and id of another request', () =>
  withEngine({}, async (engine) => {
    await (await send(engine, 'r1', 'one')).body.dump();
    engine.faults.add(lastingFault('crossed-answers'));
    const res = await send(engine, 'r2', 'two');
    assert.equal(res.headers['x-request-id'], 'r1');
    const answer = (await res.body.json()) as { choices: { message: { content: string } }[] };
    assert.equal(answer.choices[0]?.message.content, expectedAnswer('one', 16));
    assert.equal(engine.journal().length, 2);
  }));

test('a refused request does not run, but a request with a late answer does', () =>
  withEngine({}, async (engine) => {
    engine.faults.add(lastingFault('refuse'));
    const refused = await send(engine, 'r1', 'x');
    await refused.body.dump();
    assert.equal(refused.statusCode, 503);
    assert.equal(engine.journal().length, 0);
    engine.faults.clear();
    engine.faults.add(lastingFault('late-answer', { delayMs: HOUR_MS }));
    const late = assert.rejects(send(engine, 'r2', 'x'));
    await waitUntil(() => engine.journal()[0]?.outcome === 'finished');
    await engine.close();
    await late;
  }));

test('a crash discards runs and retained answers, and the engine accepts new requests', () =>
  withEngine({}, async (engine) => {
    const res = await send(engine, 'r1', '[[tokens=5000]]', { stream: true });
    engine.faults.add({ kind: 'crash-lose-all', durationMs: 0 });
    await assert.rejects(res.body.text());
    assert.equal(engine.journal()[0]?.outcome, 'lost');
    assert.equal((await call(engine, 'GET', '/v1/requests/r1/stream')).status, 404);
    const next = await send(engine, 'r2', 'x');
    assert.equal(next.statusCode, 200);
    await next.body.dump();
  }));

test('a request that exceeds the total KV memory is rejected and does not run', () =>
  withEngine({ kvTokensTotal: 10 }, async (engine) => {
    assert.equal((await send(engine, 'r1', '[[tokens=11]]')).statusCode, 400);
    assert.equal(engine.journal().length, 0);
  }));

test('orders with an outdated fencing number are rejected only if checksFencing is set', async () => {
  const order = (engine: EngineStandin, fencing: number) =>
    call(engine, 'POST', '/v1/orders', { kind: 'change-role', role: 'prefill', fencing });
  await withEngine({ checksFencing: true }, async (engine) => {
    assert.equal((await order(engine, 5)).status, 202);
    assert.equal((await order(engine, 4)).status, 409);
    assert.equal((await order(engine, 5)).status, 202);
    assert.deepEqual(
      engine.orders().map(({ accepted }) => accepted),
      [true, false, true],
    );
  });
  await withEngine({ checksFencing: false }, async (engine) => {
    assert.equal((await order(engine, 5)).status, 202);
    assert.equal((await order(engine, 4)).status, 202);
  });
});

test('a model accepts requests after its weights are fetched and until it is unloaded', () =>
  withStandin(createPlatformStandin({ weightBytes: 100_000 }), (platform) =>
    withEngine({ weightStoreUrl: platform.url, modelLoadMs: 10 }, async (engine) => {
      const models = async () => (await call(engine, 'GET', '/v1/models')).text;
      await call(engine, 'POST', '/v1/orders', { kind: 'load-model', model: 'm2', fencing: 1 });
      await waitUntil(async () => (await models()).includes('"m2"'));
      assert.equal(platform.stats().weights, 1);
      assert.equal((await send(engine, 'r1', 'x', { model: 'm2' })).statusCode, 200);
      await call(engine, 'POST', '/v1/orders', { kind: 'unload-model', model: 'm2', fencing: 1 });
      assert.equal((await send(engine, 'r2', 'x', { model: 'm2' })).statusCode, 404);
    }),
  ));

test('cache events can be read after a sequence number, and load reports have an age', () =>
  withEngine({ blockTokens: 4, cacheEventLagMs: 100 }, async (engine) => {
    await (await send(engine, 'r1', 'a prompt of more than two blocks')).body.dump();
    await waitUntil(async () =>
      (await call(engine, 'GET', '/v1/cache-events')).text.includes('stored'),
    );
    const { next, events } = JSON.parse(
      (await call(engine, 'GET', '/v1/cache-events?after=1')).text,
    ) as { next: number; events: { seq: number }[] };
    assert.deepEqual(
      events.map(({ seq }) => seq),
      [2],
    );
    assert.equal(next, 2);
    const load = JSON.parse((await call(engine, 'GET', '/v1/load')).text) as { ageMs: number };
    assert.ok(load.ageMs >= 0);
  }));

test('a plan starts its faults at the planned times', () =>
  withEngine({ plan: [{ atMs: 0, fault: lastingFault('refuse') }] }, async (engine) => {
    await waitUntil(() => engine.faults.list().length === 1);
    assert.equal((await send(engine, 'r1', 'x')).statusCode, 503);
  }));
