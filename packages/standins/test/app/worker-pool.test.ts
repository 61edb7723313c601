import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createWorkerPool } from '../../src/app/worker-pool.js';

test('workers are taken first come first, and those who leave the queue get none', async () => {
  const pool = createWorkerPool(1);
  const taken: string[] = [];
  const take = async (name: string, signal = new AbortController().signal) => {
    if (await pool.take(signal)) taken.push(name);
  };
  const leaver = new AbortController();
  await take('a');
  const rest = [take('b'), take('leaver', leaver.signal), take('c')];
  assert.equal(pool.waiting(), 3);
  leaver.abort();
  assert.deepEqual([pool.busy(), pool.waiting()], [1, 2]);
  pool.release();
  pool.release();
  await Promise.all(rest);
  assert.deepEqual(taken, ['a', 'b', 'c']);
  pool.release();
  assert.deepEqual([pool.busy(), pool.waiting()], [0, 0]);
});
