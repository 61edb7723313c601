import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createWorkerPool } from '../../src/app/worker-pool.js';

test('workers are assigned in FIFO order, and aborted requests get none', async () => {
  const pool = createWorkerPool(1);
  const acquired: string[] = [];
  const acquire = async (name: string, signal = new AbortController().signal) => {
    if (await pool.acquire(signal)) acquired.push(name);
  };
  const abortController = new AbortController();
  await acquire('a');
  const pending = [acquire('b'), acquire('aborted', abortController.signal), acquire('c')];
  assert.equal(pool.waiting(), 3);
  abortController.abort();
  assert.deepEqual([pool.busy(), pool.waiting()], [1, 2]);
  pool.release();
  pool.release();
  await Promise.all(pending);
  assert.deepEqual(acquired, ['a', 'b', 'c']);
  pool.release();
  assert.deepEqual([pool.busy(), pool.waiting()], [0, 0]);
});
