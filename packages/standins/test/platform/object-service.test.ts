import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { request } from 'undici';
import { createPlatformStandin } from '../../src/index.js';
import type { PlatformOptions, PlatformStandin } from '../../src/index.js';
import { withStandin } from '../with-standin.js';

const withPlatform = (
  options: PlatformOptions,
  run: (platform: PlatformStandin) => Promise<void>,
) => withStandin(createPlatformStandin(options), run);

const put = async (platform: PlatformStandin, key: string, body: string, headers = {}) => {
  const res = await request(`${platform.url}/v1/objects/${key}`, { method: 'PUT', body, headers });
  await res.body.dump();
  return { status: res.statusCode, etag: res.headers.etag };
};

const get = async (platform: PlatformStandin, path: string) => {
  const res = await request(`${platform.url}${path}`);
  const text = await res.body.text();
  return { status: res.statusCode, headers: res.headers, text };
};

test('exactly one of several concurrent conditional writes takes effect', () =>
  withPlatform({}, async (platform) => {
    const first = await put(platform, 'config/current', 'v0', { 'if-none-match': '*' });
    assert.deepEqual(first, { status: 201, etag: '"1"' });
    const bodies = ['a', 'b', 'c', 'd', 'e'];
    const results = await Promise.all(
      bodies.map((body) => put(platform, 'config/current', body, { 'if-match': '"1"' })),
    );
    const succeeded = results.filter(({ status }) => status === 200);
    const conflicts = results.filter(({ status }) => status === 412);
    assert.equal(succeeded.length, 1);
    assert.equal(conflicts.length, 4);
    conflicts.forEach(({ etag }) => assert.equal(etag, '"2"'));
    const read = await get(platform, '/v1/objects/config/current');
    assert.equal(read.text, bodies[results.findIndex(({ status }) => status === 200)]);
    assert.equal(platform.journal().length, 2);
  }));

test('a write takes effect even if its response is lost', () =>
  withPlatform({}, async (platform) => {
    platform.faults.add({ kind: 'lose-answers', durationMs: 60_000 });
    await assert.rejects(put(platform, 'k', 'body'));
    platform.faults.clear();
    const read = await get(platform, '/v1/objects/k');
    assert.equal(read.status, 200);
    assert.equal(read.text, 'body');
    assert.equal(platform.journal()[0]?.answerLost, true);
  }));

test('a watch returns a change under its prefix and gets 410 outside the history', () =>
  withPlatform({ watchHistory: 2 }, async (platform) => {
    const watch = get(platform, '/v1/watch?prefix=a/&after=0&timeoutMs=10000');
    await put(platform, 'b/1', 'x');
    await put(platform, 'a/1', 'x');
    assert.deepEqual(JSON.parse((await watch).text), {
      version: 2,
      events: [{ key: 'a/1', version: 2, deleted: false }],
    });
    for (let index = 0; index < 4; index += 1) await put(platform, 'b/1', 'x');
    assert.equal((await get(platform, '/v1/watch?after=0')).status, 410);
    assert.equal((await get(platform, '/v1/watch?after=99')).status, 410);
    const late = await get(platform, '/v1/watch?after=6&timeoutMs=1');
    assert.deepEqual(JSON.parse(late.text), { version: 6, events: [] });
  }));

test('a missed watch omits the change, but the object can be read', () =>
  withPlatform({}, async (platform) => {
    platform.faults.add({ kind: 'missed-watch', durationMs: 60_000 });
    await put(platform, 'k', 'x');
    const watch = await get(platform, '/v1/watch?after=0&timeoutMs=1');
    assert.deepEqual(JSON.parse(watch.text), { version: 1, events: [] });
    assert.equal((await get(platform, '/v1/objects/k')).status, 200);
  }));

test('calls over the rate limit get 429 with Retry-After and have no effect', () =>
  withPlatform({ writesPerSecond: 0.001 }, async (platform) => {
    assert.equal((await put(platform, 'k', 'x')).status, 201);
    const limited = await request(`${platform.url}/v1/objects/k`, { method: 'PUT', body: 'y' });
    assert.equal(limited.statusCode, 429);
    assert.ok(Number(limited.headers['retry-after']) >= 1);
    assert.equal((await get(platform, '/v1/objects/k')).text, 'x');
    assert.equal(platform.journal().length, 1);
    assert.equal(platform.stats().limited, 1);
  }));

test('an outage returns 503 or resets the connection for calls of its role', () =>
  withPlatform({}, async (platform) => {
    platform.faults.add({ kind: 'outage', durationMs: 60_000, role: 'writes' });
    assert.equal((await put(platform, 'k', 'x')).status, 503);
    assert.equal((await get(platform, '/v1/objects')).status, 200);
    platform.faults.clear();
    platform.faults.add({ kind: 'outage', durationMs: 60_000, manner: 'reset' });
    await assert.rejects(get(platform, '/v1/objects'));
    assert.equal(platform.journal().length, 0);
  }));

test('an outage ends pending watches', () =>
  withPlatform({}, async (platform) => {
    const watch = get(platform, '/v1/watch?after=0&timeoutMs=300000');
    while (platform.stats().watch !== 1) await setImmediate();
    platform.faults.add({ kind: 'outage', durationMs: 60_000 });
    assert.equal((await watch).status, 503);
  }));

test('a slow service delays calls of the affected role only', () =>
  withPlatform({}, async (platform) => {
    platform.faults.add({ kind: 'slow', durationMs: 60_000, delayMs: 60_000, role: 'writes' });
    const write = assert.rejects(put(platform, 'k', 'x'));
    while (platform.stats().put !== 1) await setImmediate();
    assert.equal((await get(platform, '/v1/objects/k')).status, 404);
    await platform.close();
    await write;
  }));

test('an admin call starts a plan, and clearing all faults cancels it', () =>
  withPlatform({}, async (platform) => {
    const admin = (method: 'POST' | 'DELETE', path: string, body?: unknown) =>
      request(`${platform.url}/admin/${path}`, { method, body: JSON.stringify(body) });
    const fault = { kind: 'outage', durationMs: 60_000 };
    assert.equal((await admin('POST', 'plan', [{ atMs: 0, fault }])).statusCode, 204);
    while ((await get(platform, '/v1/objects')).status !== 503);
    assert.equal((await admin('DELETE', 'faults')).statusCode, 204);
    assert.equal((await get(platform, '/v1/objects')).status, 200);
    assert.equal((await admin('POST', 'faults', { ...fault, kind: 'fire' })).statusCode, 400);
  }));

test('a body over 1 MiB is rejected, and a delete can be conditional', () =>
  withPlatform({}, async (platform) => {
    assert.equal((await put(platform, 'big', 'x'.repeat(1_048_577))).status, 413);
    await put(platform, 'k', 'x');
    const remove = (headers: Record<string, string>) =>
      request(`${platform.url}/v1/objects/k`, { method: 'DELETE', headers });
    assert.equal((await remove({ 'if-match': '"9"' })).statusCode, 412);
    assert.equal((await remove({ 'if-match': '"1"' })).statusCode, 204);
    assert.equal((await remove({})).statusCode, 404);
  }));
