import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Agent, request } from 'undici';
import { createAppStandin, createEngineStandin, createPlatformStandin } from '../../src/index.js';

const SEED = 11;
const bytes = fc.uint8Array({ maxLength: 300 }).map((data) => Buffer.from(data));
const json = fc.json().map((text) => Buffer.from(text));
const chat = fc
  .record(
    {
      model: fc.constantFrom<unknown>('standin-model', 'other', 1),
      messages: fc.oneof(
        fc.jsonValue(),
        fc.array(
          fc.record({
            role: fc.constantFrom('user', 'system'),
            content: fc.oneof(fc.string(), fc.constantFrom('[[tokens=0]]', '[[tokens=9]]')),
          }),
        ),
      ),
      stream: fc.oneof(fc.boolean(), fc.jsonValue()),
      max_tokens: fc.oneof(fc.integer({ min: -2, max: 20 }), fc.jsonValue()),
      stream_options: fc.oneof(fc.constant({ include_usage: true }), fc.jsonValue()),
    },
    { requiredKeys: [] },
  )
  .map((body) => Buffer.from(JSON.stringify(body)));
const body = fc.oneof(bytes, json, chat);
const segment = fc.oneof(
  fc.webSegment(),
  fc.constantFrom('%', '%ff', '%2F', '..', 'admin', 'v1', '%E0%A4'),
);
const method = fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH');
const condition = fc.constantFrom('*', '"1"', '"', '1', '"99999999999999999999"', 'W/"1"', '');

/** Sends one call and returns its status. */
const callStatus = async (
  dispatcher: Agent,
  url: string,
  options: { method: string; body?: Buffer; headers?: Record<string, string> },
): Promise<number> => {
  const res = await request(url, { dispatcher, ...options });
  await res.body.dump();
  return res.statusCode;
};

test('no body of a chat request or an order fails inside the engine', async () => {
  const engine = await createEngineStandin({ timeScale: 1000 });
  const dispatcher = new Agent();
  const paths = ['/v1/chat/completions', '/v1/orders', '/admin/faults', '/admin/plan'];
  try {
    await fc.assert(
      fc.asyncProperty(fc.constantFrom(...paths), body, async (path, data) => {
        const status = await callStatus(dispatcher, engine.url + path, {
          method: 'POST',
          body: data,
        });
        assert.ok([200, 202, 204, 400, 404].includes(status), `${path} gave ${status}`);
      }),
      { seed: SEED, numRuns: 400 },
    );
    assert.equal(await callStatus(dispatcher, `${engine.url}/v1/models`, { method: 'GET' }), 200);
  } finally {
    await dispatcher.close();
    await engine.close();
  }
});

test('no call fails inside the platform service', async () => {
  const platform = await createPlatformStandin({ writesPerSecond: 1e6, readsPerSecond: 1e6 });
  const dispatcher = new Agent();
  const base = fc.constantFrom('/v1/objects', '/v1/objects/', '/v1/weights', '/v1', '/admin', '');
  try {
    await fc.assert(
      fc.asyncProperty(
        base,
        fc.array(segment, { maxLength: 3 }),
        method,
        body,
        condition,
        fc.constantFrom('if-match', 'if-none-match'),
        async (prefix, segments, verb, data, match, header) => {
          const status = await callStatus(
            dispatcher,
            `${platform.url}${prefix}/${segments.join('/')}`,
            {
              method: verb,
              ...(verb === 'GET' ? {} : { body: data }),
              headers: match === '' ? {} : { [header]: match },
            },
          );
          assert.ok(status < 500, `${verb} gave ${status}`);
        },
      ),
      { seed: SEED, numRuns: 400 },
    );
  } finally {
    await dispatcher.close();
    await platform.close();
  }
});

test('no call fails inside the application server', async () => {
  const app = await createAppStandin({ meanWorkMs: 0 });
  const dispatcher = new Agent();
  const headers = fc.record(
    {
      'x-standin-work-ms': fc.constantFrom('0', '-1', 'x', 'NaN'),
      'x-standin-echo': fc.constantFrom('1', ''),
      'x-request-id': fc.constantFrom('r1', '', 'r 2'),
    },
    { requiredKeys: [] },
  );
  try {
    await fc.assert(
      fc.asyncProperty(method, fc.array(segment), bytes, headers, async (verb, path, data, own) => {
        const status = await callStatus(dispatcher, `${app.url}/${path.join('/')}`, {
          method: verb,
          ...(verb === 'GET' ? {} : { body: data }),
          headers: own,
        });
        assert.ok(status < 500, `${verb} gave ${status}`);
      }),
      { seed: SEED, numRuns: 200 },
    );
  } finally {
    await dispatcher.close();
    await app.close();
  }
});
