import assert from 'node:assert/strict';
import { test } from 'node:test';
import { request } from 'undici';
import { createAppStandin, expectedResult } from '../../src/index.js';
import type { AppAnswer, AppFaultKind, AppStandin } from '../../src/index.js';
import { withStandin } from '../with-standin.js';

test('the journal has every request that ran, and each request gets its own answer', () =>
  withStandin(createAppStandin({ workers: 2 }), async (app) => {
    const send = async (index: number) => {
      const res = await request(`${app.url}/batches/${index}?x=1`, {
        method: 'POST',
        body: `batch ${index}`,
        headers: {
          'x-request-id': `r${index}`,
          'x-bench-request': `b${index}`,
          'x-standin-work-ms': '1',
        },
      });
      assert.equal(res.headers['x-request-id'], `r${index}`);
      return (await res.body.json()) as AppAnswer;
    };
    const answers = await Promise.all([0, 1, 2, 3, 4, 5].map(send));
    answers.forEach((answer, index) => {
      const { method, path, digest, result, requestId } = answer;
      assert.equal(requestId, `r${index}`);
      assert.equal(path, `/batches/${index}?x=1`);
      assert.equal(result, expectedResult(method, path, digest));
    });
    const ran = app.journal().map(({ benchRequest, outcome }) => `${benchRequest} ${outcome}`);
    assert.deepEqual(
      ran.sort(),
      [0, 1, 2, 3, 4, 5].map((index) => `b${index} finished`),
    );
  }));

test('a large body is echoed as a stream', () =>
  withStandin(createAppStandin({ meanWorkMs: 0 }), async (app) => {
    const body = Buffer.alloc(5_000_000, 'kingcupsill');
    const headers = { 'x-standin-echo': '1' };
    const res = await request(`${app.url}/echo`, { method: 'PUT', body, headers });
    assert.deepEqual(Buffer.from(await res.body.arrayBuffer()), body);
  }));

test('a refused request does not run', () =>
  withStandin(createAppStandin(), async (app) => {
    app.faults.add({ kind: 'refuse', durationMs: 60_000 });
    assert.equal((await request(`${app.url}/x`)).statusCode, 503);
    assert.equal(app.journal().length, 0);
  }));

const HOUR_MS = 3_600_000;

const withFault = (
  kind: AppFaultKind,
  run: (app: AppStandin, send: (id: string) => ReturnType<typeof request>) => Promise<void>,
) =>
  withStandin(createAppStandin({ meanWorkMs: 0 }), async (app) => {
    const send = (id: string) => request(`${app.url}/${id}`, { headers: { 'x-request-id': id } });
    await (await send('before')).body.dump();
    app.faults.add({ kind, durationMs: HOUR_MS, delayMs: 5 });
    await run(app, send);
  });

test('a crossed response has the answer and id of another request', () =>
  withFault('crossed-answers', async (app, send) => {
    const res = await send('own');
    assert.equal(res.headers['x-request-id'], 'before');
    assert.equal(((await res.body.json()) as AppAnswer).path, '/before');
    assert.equal(app.journal().at(-1)?.requestId, 'own');
  }));

test('a cut response fails although the request ran', () =>
  withFault('cut-answer', async (app, send) => {
    await assert.rejects(async () => (await send('own')).body.text());
    assert.equal(app.journal().at(-1)?.outcome, 'cut');
  }));

test('a late answer is complete', () =>
  withFault('late-answer', async (_app, send) => {
    const res = await send('own');
    assert.equal(((await res.body.json()) as AppAnswer).requestId, 'own');
  }));

test('a frozen server starts no requests', () =>
  withFault('freeze', async (app, send) => {
    const pending = assert.rejects(send('own'));
    const state = async () => (await request(`${app.url}/admin/state`)).body.json();
    while (((await state()) as { waiting: number }).waiting !== 1);
    assert.equal(app.journal().length, 1);
    await app.close();
    await pending;
  }));
