/** Guards against requests that are refused while a router reads large foreign entries. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Steps } from '@kingcupsill/prepared-platform';
import { createAnswerReading } from '../../src/store/answer-reading.js';

const STEPS = 50;

/** Clock that goes on with each step, and with the real time of rests. */
function createWorkClock() {
  let workMs = 0;
  const startedAtMs = performance.now();
  function* work(stepMs: number): Steps<string> {
    for (let step = 0; step < STEPS; step += 1) {
      workMs += stepMs;
      yield;
    }
    return 'read';
  }
  return { clock: () => performance.now() - startedAtMs + workMs, work, workMs: () => workMs };
}

test('other work is done between the turns of a large answer, and reading takes no more than its share', async () => {
  const { clock, work, workMs } = createWorkClock();
  const readInTurns = createAnswerReading(clock, () => true);
  let isReading = true;
  let longestMs = 0;
  const results = Promise.all([work(1), work(1)].map(readInTurns)).finally(() => {
    isReading = false;
  });
  while (isReading) {
    const before = workMs();
    await new Promise(setImmediate);
    longestMs = Math.max(longestMs, workMs() - before);
  }
  assert.deepEqual(await results, ['read', 'read']);
  // Some turns of three milliseconds, of a hundred milliseconds of work.
  assert.ok(longestMs <= 20, `${longestMs} ms without other work`);
  assert.ok(workMs() / clock() <= 0.35, `${workMs()} of ${clock()} ms`);
});

test('reading does not rest before the router can serve', async () => {
  const { clock, work, workMs } = createWorkClock();
  let isServing = false;
  const readInTurns = createAnswerReading(clock, () => isServing);
  assert.equal(await readInTurns(work(4)), 'read');
  assert.ok(clock() < 2 * workMs());
  isServing = true;
  assert.equal(await readInTurns(work(0)), 'read');
});

test('an error of a step rejects', async () => {
  const readInTurns = createAnswerReading(
    () => 0,
    () => true,
  );
  function* failAfter(steps: number): Steps<string> {
    for (let step = 0; step < steps; step += 1) yield;
    throw new Error('broken');
  }
  for (const steps of [0, 2])
    await assert.rejects(readInTurns(failAfter(steps)), { message: 'broken' });
});
