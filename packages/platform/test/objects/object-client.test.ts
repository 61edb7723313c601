import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';

import { createObjectClient } from '../../src/index.js';
import type { ObjectClient } from '../../src/index.js';
import { startFakeObjectService } from '../support/fake-object-service.js';
import type { FakeObjectService } from '../support/fake-object-service.js';

let service: FakeObjectService;
let objects: ObjectClient;
const bytes = (text: string) => new TextEncoder().encode(text);

before(async () => {
  service = await startFakeObjectService();
});
beforeEach(() => {
  service.objects.clear();
  service.faults.status = undefined;
  objects = createObjectClient({ url: service.url, timeoutMs: 500 });
});
after(() => service.close());

test('creates, reads, conditionally replaces and removes an object', async () => {
  assert.deepEqual(await objects.get('a/b c'), { ok: false, code: 'not-found' });
  const created = await objects.put('a/b c', bytes('one'), { ifAbsent: true });
  assert.ok(created.ok);
  assert.deepEqual(await objects.put('a/b c', bytes('two'), { ifAbsent: true }), {
    ok: false,
    code: 'conflict',
    currentVersion: created.version,
  });
  const replaced = await objects.put('a/b c', bytes('two'), { ifVersion: created.version });
  assert.ok(replaced.ok);
  const read = await objects.get('a/b c');
  assert.ok(read.ok);
  assert.equal(new TextDecoder().decode(read.body), 'two');
  assert.equal(read.version, replaced.version);
  assert.deepEqual(await objects.remove('a/b c', { ifVersion: created.version }), {
    ok: false,
    code: 'conflict',
    currentVersion: replaced.version,
  });
  assert.deepEqual(await objects.remove('a/b c'), { ok: true });
});

test('reports an unknown outcome if the response to a write is lost', async () => {
  service.faults.lostResponses = 1;
  const put = await objects.put('k', bytes('one'));
  assert.equal(put.ok ? 'ok' : put.code, 'unknown');
  assert.equal((await objects.get('k')).ok, true);
});

test('reports no effect after a refused connection, a 503 or a 429, and an unknown outcome after another 5xx', async () => {
  const code = async () => {
    const put = await objects.put('k', bytes('one'));
    return put.ok ? 'ok' : put.code;
  };
  service.faults.status = 503;
  assert.equal(await code(), 'unavailable');
  service.faults.status = 500;
  assert.equal(await code(), 'unknown');
  service.faults.status = 429;
  assert.deepEqual(await objects.put('k', bytes('one')), {
    ok: false,
    code: 'rate-limited',
    retryAfterMs: 10,
  });
  const closed = await startFakeObjectService();
  await closed.close();
  objects = createObjectClient({ url: closed.url, timeoutMs: 500 });
  assert.equal(await code(), 'unavailable');
});

test('rejects a body above the size limit', async () => {
  const put = await objects.put('k', new Uint8Array(1024 * 1024 + 1));
  assert.equal(put.ok ? 'ok' : put.code, 'rejected');
});

test('watch returns a change with the given prefix, and no events after its timeout', async () => {
  const listed = await objects.list('w/');
  assert.ok(listed.ok);
  const watching = objects.watch({ prefix: 'w/', after: listed.version, timeoutMs: 5000 });
  await objects.put('other', bytes('x'));
  await objects.put('w/1', bytes('x'));
  const watched = await watching;
  assert.ok(watched.ok);
  assert.deepEqual(
    watched.events.map(({ key }) => key),
    ['w/1'],
  );
  const idle = await objects.watch({ prefix: 'w/', after: watched.version, timeoutMs: 10 });
  assert.deepEqual(idle.ok && idle.events, []);
});
