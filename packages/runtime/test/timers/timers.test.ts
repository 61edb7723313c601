/** Guards against timers that act, after a pause of the process, on what had arrived before but wasn't read. */
import assert from 'node:assert/strict';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { callAfter, repeatEvery, wait } from '../../src/timers/index.js';

const PERIOD_MS = 50;

/** Pauses this process: nothing of it runs, and what others send arrives meanwhile. */
function pauseProcess(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Records the order in which a chunk is read and a timer acts, if the chunk arrives while the process is paused. */
async function recordOrder(start: (onTimer: () => void) => unknown): Promise<string[]> {
  const order: string[] = [];
  const server = createServer((socket) => socket.on('data', () => order.push('chunk')));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  await delay(100);
  start(() => order.push('timer'));
  caller.write('x');
  pauseProcess(4 * PERIOD_MS);
  await delay(4 * PERIOD_MS);
  caller.destroy();
  server.close();
  return order.slice(0, 2);
}

test('a late timer acts after what has arrived during a pause was read', async () => {
  const order = await recordOrder((onTimer) => callAfter(PERIOD_MS, onTimer));
  assert.deepEqual(order, ['chunk', 'timer']);
});

test('a late periodic timer acts after what has arrived during a pause was read', async () => {
  let timer: ReturnType<typeof repeatEvery> | undefined;
  const order = await recordOrder((onTimer) => {
    timer = repeatEvery(PERIOD_MS, onTimer);
  });
  await timer?.close();
  assert.deepEqual(order, ['chunk', 'timer']);
});

test('a late wait ends after what has arrived during a pause was read', async () => {
  const order = await recordOrder((onTimer) => wait(PERIOD_MS).then(onTimer));
  assert.deepEqual(order, ['chunk', 'timer']);
});

test('a timer that is closed while it waits for the poll does not act', async () => {
  let calls = 0;
  const timer = callAfter(PERIOD_MS, () => {
    calls += 1;
  });
  setTimeout(timer.close, PERIOD_MS + 1);
  pauseProcess(4 * PERIOD_MS);
  await delay(PERIOD_MS);
  assert.equal(calls, 0);
});
