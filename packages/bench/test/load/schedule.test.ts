import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { chooseRouter, createSchedule } from '../../src/load/index.js';
import type { AccountLoad } from '../../src/load/index.js';

const sizes = { median: 40, sigma: 0.8, max: 400 };

const createLoad = (account: string, extra: Partial<AccountLoad> = {}): AccountLoad => ({
  account,
  ratePerSecond: 20,
  phases: [{ from: 0.5, to: 1, factor: 3 }],
  mix: [
    { kind: 'chat-stream', service: 'm', weight: 3, promptChars: sizes, answerTokens: sizes },
    {
      kind: 'record',
      service: 's',
      weight: 1,
      promptChars: sizes,
      answerTokens: { ...sizes, max: 0 },
    },
  ],
  ...extra,
});

test('creates the same schedule for the same seed, sorted by time', () => {
  fc.assert(
    fc.property(fc.nat(10_000), (seed) => {
      const options = {
        seed,
        seconds: 4,
        loads: [createLoad('a'), createLoad('b', { keyedFraction: 0.5 })],
      };
      const schedule = createSchedule(options);
      assert.deepEqual(createSchedule(options), schedule);
      const times = schedule.map(({ atMs }) => atMs);
      assert.deepEqual(
        [...times].sort((x, y) => x - y),
        times,
      );
    }),
    { seed: 21, numRuns: 30 },
  );
});

test("keeps an account's requests unchanged when another account's load changes", () => {
  const scheduleForA = (loads: AccountLoad[]) =>
    createSchedule({ seed: 5, seconds: 10, loads }).filter(({ account }) => account === 'a');
  assert.deepEqual(
    scheduleForA([createLoad('a'), createLoad('b', { ratePerSecond: 200 })]),
    scheduleForA([createLoad('a')]),
  );
});

test('follows the rate of each phase and keeps sizes within bounds', () => {
  const schedule = createSchedule({ seed: 7, seconds: 200, loads: [createLoad('a')] });
  const early = schedule.filter(({ atMs }) => atMs < 100_000).length;
  // Five standard deviations of Poisson counts with means 2,000 and 6,000.
  assert.ok(Math.abs(early - 2000) < 5 * Math.sqrt(2000));
  assert.ok(Math.abs(schedule.length - early - 6000) < 5 * Math.sqrt(6000));
  schedule.forEach(({ call }) => {
    assert.ok(call.promptChars >= 1 && call.promptChars <= 400);
    assert.equal(call.answerTokens === 0, call.kind === 'record');
  });
});

test('repeats a request with the same idempotency key through another router', () => {
  const repeating = createLoad('a', {
    keyedFraction: 1,
    repeatFraction: 0.5,
    maxRepeatDelayMs: 100,
  });
  const schedule = createSchedule({ seed: 9, seconds: 60, loads: [repeating] });
  const repeats = schedule.filter(({ id, logicalId }) => id !== logicalId);
  assert.ok(repeats.length > 50);
  repeats.forEach((repeat) => {
    const first = schedule.find(({ id }) => id === repeat.logicalId);
    assert.equal(repeat.idempotencyKey, first?.idempotencyKey);
    assert.ok(first !== undefined && repeat.atMs - first.atMs < 100);
    assert.notEqual(
      chooseRouter(3, repeat.routerPosition, 3),
      chooseRouter(3, first.routerPosition, 3),
    );
  });
});

test('sends requests to every router and most to the first in the order', () => {
  const counts = [0, 0, 0, 0];
  createSchedule({ seed: 3, seconds: 100, loads: [createLoad('a')] }).forEach(
    ({ routerPosition }) => {
      counts[chooseRouter(2, routerPosition, 4)]! += 1;
    },
  );
  assert.ok(counts.every((count) => count > 0));
  assert.equal(Math.max(...counts), counts[chooseRouter(2, 0, 4)]);
});
