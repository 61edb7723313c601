/** A router whose processor is busy with requests on kept connections: it must still accept new connections before their callers give up. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRequestQueue } from '../../src/callers/request-queue.js';

/** Event loop whose iterations are run by the test. */
function createQueueOfLoop(areConnectionsWaiting = () => false) {
  let nowMs = 1000;
  let callbacks: (() => void)[] = [];
  const queue = createRequestQueue(
    () => nowMs,
    areConnectionsWaiting,
    (callback) => callbacks.push(callback),
  );
  return {
    add(durationMs: number, onProcessed: (waitedMs: number) => void = () => {}): void {
      queue.add((waitedMs) => {
        nowMs += durationMs;
        onProcessed(waitedMs);
      });
    },
    /** Runs one iteration and returns its duration. */
    iterate(): number {
      const startedAtMs = nowMs;
      const due = callbacks;
      callbacks = [];
      due.forEach((callback) => callback());
      return nowMs - startedAtMs;
    },
  };
}

test('many requests at once are processed in turns between which connections are accepted', () => {
  const loop = createQueueOfLoop();
  const waits: number[] = [];
  for (let count = 0; count < 60; count += 1) loop.add(3, (waitedMs) => waits.push(waitedMs));
  const durations = Array.from({ length: 40 }, () => loop.iterate());
  assert.equal(waits.length, 60);
  assert.ok(Math.max(...durations) <= 8, `${Math.max(...durations)} ms`);
  // The wait of the last request shows that the loop is busy although none of its iterations is long.
  assert.equal(waits[59], 59 * 3);
});

test('requests are processed in order, each after another poll that detects disconnected callers', () => {
  const loop = createQueueOfLoop();
  const processed: string[] = [];
  loop.add(0, () => processed.push('first'));
  loop.iterate();
  assert.deepEqual([...processed], []);
  loop.add(0, () => processed.push('second'));
  loop.iterate();
  assert.deepEqual([...processed], ['first']);
  loop.iterate();
  assert.deepEqual([...processed], ['first', 'second']);
});

// Guards against: new connections starve because an iteration that accepts one of them processes several requests of kept connections.
test('while connections wait too long to be accepted, each turn processes one request', () => {
  let areWaiting = true;
  const loop = createQueueOfLoop(() => areWaiting);
  let processed = 0;
  const count = () => {
    processed += 1;
  };
  for (let index = 0; index < 10; index += 1) loop.add(1, count);
  loop.iterate();
  loop.iterate();
  loop.iterate();
  assert.equal(processed, 2);
  areWaiting = false;
  loop.iterate();
  assert.ok(processed > 3, String(processed));
});
