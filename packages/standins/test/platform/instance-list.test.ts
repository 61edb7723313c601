import assert from 'node:assert/strict';
import { test } from 'node:test';
import { request } from 'undici';
import { createPlatformStandin } from '../../src/index.js';
import { createInstanceList } from '../../src/platform/instance-list.js';
import type { PlatformInstance } from '../../src/index.js';
import { withStandin } from '../with-standin.js';

const instance = (id: string): PlatformInstance => ({
  id,
  role: 'router',
  zone: 'kingston-a',
  region: 'kingston',
  state: 'live',
  address: '127.0.0.1:7000',
});

test('a change becomes visible only after the lag', () => {
  const list = createInstanceList(1000, [instance('r1')]);
  list.put(instance('r2'), 0);
  list.put({ ...instance('r1'), state: 'leaving' }, 500);
  list.remove('r2', 600);
  const ids = (nowMs: number) =>
    list.view(nowMs).instances.map(({ id, state }) => `${id} ${state}`);
  assert.deepEqual(ids(999), ['r1 live']);
  assert.deepEqual(ids(1000), ['r1 live', 'r2 live']);
  assert.deepEqual(ids(1500), ['r1 leaving', 'r2 live']);
  assert.deepEqual(ids(1600), ['r1 leaving']);
  assert.equal(list.view(1600).version, 4);
});

test('admin calls change the instance list', () =>
  withStandin(createPlatformStandin({ instanceLagMs: 0 }), async (platform) => {
    const url = `${platform.url}/admin/instances/s1`;
    const body = JSON.stringify({ ...instance('s1'), role: 'sidecar', id: undefined });
    assert.equal((await request(url, { method: 'PUT', body })).statusCode, 204);
    const read = async () => {
      const res = await request(`${platform.url}/v1/instances`);
      return (await res.body.json()) as { version: number; instances: PlatformInstance[] };
    };
    assert.deepEqual(
      (await read()).instances.map(({ id, role }) => [id, role]),
      [['s1', 'sidecar']],
    );
    assert.equal((await request(url, { method: 'DELETE' })).statusCode, 204);
    assert.deepEqual((await read()).instances, []);
    assert.equal((await request(url, { method: 'PUT', body: '{"role":"x"}' })).statusCode, 400);
  }));
