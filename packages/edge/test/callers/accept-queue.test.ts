/** A router whose event loop is busy with open streams: connections wait to be accepted although the loop is hardly late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createAcceptQueue } from '../../src/callers/accept-queue.js';

const CAPACITY = 50;

/** Event loop whose iterations are run by the test. */
function createQueueOfLoop() {
  let nowMs = 1000;
  let polled: (() => void)[] = [];
  const queue = createAcceptQueue(
    CAPACITY,
    () => nowMs,
    (callback) => polled.push(callback),
  );
  return {
    queue,
    iterate(durationMs: number, accepts: boolean, connection: object = {}): void {
      nowMs += durationMs;
      const callbacks = polled;
      polled = [];
      if (accepts) queue.recordAccepted(connection);
      callbacks.forEach((callback) => callback());
    },
  };
}

test('a connection that waits in each iteration waits for as long as the queue has not been empty', () => {
  const loop = createQueueOfLoop();
  for (let count = 0; count < 11; count += 1) loop.iterate(80, true);
  assert.equal(loop.queue.waitMs(), 800);
});

test('the wait is at most the time to accept a full queue', () => {
  const loop = createQueueOfLoop();
  for (let count = 0; count <= 1000; count += 1) loop.iterate(10, true);
  assert.ok(loop.queue.waitMs() <= CAPACITY * 10, `${loop.queue.waitMs()} ms`);
});

test('an iteration without a connection shows that the queue is empty', () => {
  const loop = createQueueOfLoop();
  for (let count = 0; count < 11; count += 1) loop.iterate(80, true);
  loop.iterate(80, false);
  assert.equal(loop.queue.waitMs(), 0);
});

test('the wait of an accepted connection counts for its first request only', () => {
  const loop = createQueueOfLoop();
  const connection = {};
  for (let count = 0; count < 5; count += 1) loop.iterate(80, true);
  loop.iterate(80, true, connection);
  assert.deepEqual(
    [1, 2].map(() => loop.queue.takeWaitMs(connection)),
    [400, 0],
  );
});
