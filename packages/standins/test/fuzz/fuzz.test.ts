import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Agent, request } from 'undici';
import { createAppStandin, createEngineStandin, createPlatformStandin } from '../../src/index.js';
import { withStandin } from '../with-standin.js';

const SEED = 11;

const chat = fc.record(
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
);
const body = fc.oneof(
  fc.uint8Array({ maxLength: 300 }).map((data) => Buffer.from(data)),
  fc.json().map((text) => Buffer.from(text)),
  chat.map((value) => Buffer.from(JSON.stringify(value))),
);
const headers = fc.record(
  {
    'if-match': fc.constantFrom('"1"', '"', '1', '"99999999999999999999"', 'W/"1"'),
    'if-none-match': fc.constantFrom('*', '"1"'),
    'x-standin-work-ms': fc.constantFrom('0', '-1', 'NaN'),
    'x-standin-echo': fc.constantFrom('1', ''),
    'x-request-id': fc.constantFrom('r1', '', 'r 2'),
  },
  { requiredKeys: [] },
);
const segment = fc.oneof(
  fc.webSegment(),
  fc.constantFrom('%', '%ff', '%2F', '..', 'cancel', 'stream?offset=-1'),
);

const call = (paths: string[]) =>
  fc.record({
    path: fc.constantFrom(...paths),
    segments: fc.oneof(fc.constant([]), fc.array(segment, { maxLength: 3 })),
    method: fc.constantFrom(
      'POST' as const,
      'GET' as const,
      'PUT' as const,
      'DELETE' as const,
      'PATCH' as const,
    ),
    body,
    headers,
  });
type Call = ReturnType<typeof call> extends fc.Arbitrary<infer Value> ? Value : never;

const standins = {
  platform: {
    create: () => createPlatformStandin({ writesPerSecond: 1e6, readsPerSecond: 1e6 }),
    paths: ['/v1/objects', '/v1/objects', '/v1/weights', '/admin/instances', '/admin/plan', ''],
  },
  engine: {
    create: () => createEngineStandin({ timeScale: 1000 }),
    paths: ['/v1/chat/completions', '/v1/orders', '/v1/requests', '/admin/faults', ''],
  },
  app: {
    create: () => createAppStandin({ meanWorkMs: 0 }),
    paths: ['', '/batches', '/admin/faults'],
  },
};

Object.entries(standins).forEach(([kind, { create, paths }]) => {
  test(`no call to the ${kind} stand-in causes a server error`, () =>
    withStandin<{ url: string; close(): Promise<void> }>(create(), async (standin) => {
      const dispatcher = new Agent();
      const send = async ({ path, segments, method, ...rest }: Call) => {
        const res = await request([standin.url + path, ...segments].join('/'), {
          dispatcher,
          method,
          headers: rest.headers,
          body: method === 'GET' ? undefined : rest.body,
        });
        await res.body.dump();
        assert.ok(res.statusCode < 500, `${method} ${path} returned ${res.statusCode}`);
      };
      try {
        await fc.assert(fc.asyncProperty(call(paths), send), { seed: SEED, numRuns: 400 });
      } finally {
        await dispatcher.close();
      }
    }));
});
