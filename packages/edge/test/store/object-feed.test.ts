import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextIteration } from 'node:timers/promises';
import { ReadMode, StoreFailure } from '@kingcupsill/prepared-platform';
import type { StoreClient } from '@kingcupsill/prepared-platform';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createStoreAvailability } from '../../src/store/store-availability.js';
import { createFeedOptions } from '../standins/feed-options.js';

interface StoreCall {
  call: 'list' | 'watch';
  waitMs: number;
  answerTimeoutMs: number;
}

/** Runs a feed whose store lists once, fails `failures` watches, then with `last`; returns the calls up to the second list. */
async function recordStoreCalls(
  failures: number,
  last: StoreFailure = StoreFailure.HistoryGone,
): Promise<StoreCall[]> {
  const storeCalls: StoreCall[] = [];
  const noAnswer = { ok: false as const, failure: StoreFailure.NoResponse, detail: 'silent' };
  const lastAnswer = { ok: false as const, failure: last, detail: 'last' };
  let failuresLeft = failures;
  return new Promise((resolve) => {
    const client: Pick<StoreClient, 'listPage' | 'watch'> = {
      async listPage(_kind, _after, answerTimeoutMs) {
        storeCalls.push({ call: 'list', waitMs: 0, answerTimeoutMs });
        if (storeCalls.length > 1) setImmediate(() => resolve(storeCalls));
        const position = { era: undefined, revision: 5 };
        return {
          ok: true,
          value: { objects: [], unreadable: [], nextCursor: undefined, position },
        };
      },
      async watch(_kind, _revision, waitMs, answerTimeoutMs) {
        storeCalls.push({ call: 'watch', waitMs, answerTimeoutMs });
        failuresLeft -= 1;
        return failuresLeft >= 0 ? noAnswer : lastAnswer;
      },
    };
    const feed = createObjectFeed(
      createFeedOptions(client, {
        onListed() {
          if (storeCalls.length > 1) feed.close();
        },
      }),
    );
  });
}

test('uses watches without a wait and mostly short timeouts while calls fail, so that recovery is detected soon', async () => {
  const storeCalls = await recordStoreCalls(8);
  const retries = storeCalls.filter(({ call }) => call === 'watch').slice(1);
  assert.equal(retries.length, 8);
  assert.ok(retries.every(({ waitMs }) => waitMs === 0));
  // Short timeouts detect the recovery soon; some calls have a longer one for a store that is only slow.
  assert.ok(retries.filter(({ answerTimeoutMs }) => answerTimeoutMs <= 500).length >= 4);
  assert.ok(retries.some(({ answerTimeoutMs }) => answerTimeoutMs >= 1000));
});

test('lists again when the store has dropped the history of changes', async () => {
  const storeCalls = await recordStoreCalls(0);
  assert.deepEqual(
    storeCalls.map(({ call }) => call),
    ['list', 'watch', 'list'],
  );
});

// Guards against a feed that asks for the same changes again and again, although they are more than it takes.
test('lists again when the changes are too large for one answer', async () => {
  const storeCalls = await recordStoreCalls(0, StoreFailure.TooLarge);
  assert.deepEqual(
    storeCalls.map(({ call }) => call),
    ['list', 'watch', 'list'],
  );
});

const GONE = { ok: false as const, failure: StoreFailure.HistoryGone, detail: 'gone' };

/** Runs a feed that may use old data, whose store has no history after any listing; returns the modes of its listings and its pauses. */
async function recordRelistings(listings: number): Promise<{ modes: string[]; pauses: number[] }> {
  const modes: string[] = [];
  const pauses: number[] = [];
  const position = { era: undefined, revision: 5 };
  return new Promise((resolve) => {
    const client: Pick<StoreClient, 'listPage' | 'watch'> = {
      async listPage(_kind, _after, _timeoutMs, mode) {
        modes.push(mode!);
        return {
          ok: true,
          value: { objects: [], unreadable: [], nextCursor: undefined, position },
        };
      },
      watch: async () => GONE,
    };
    const availability = {
      ...createStoreAvailability(),
      pause: async (ms: number) => {
        pauses.push(ms);
      },
    };
    const feed = createObjectFeed(
      createFeedOptions(client, {
        availability,
        allowsStale: true,
        onListed() {
          if (modes.length < listings) return;
          feed.close();
          resolve({ modes, pauses });
        },
      }),
    );
  });
}

// Guards against: a router lists without a pause while its listings are older than the store's history.
test('lists current data, then ever less often, while the store has no history of its listings', async () => {
  const { modes, pauses } = await recordRelistings(6);
  const { Stale, Current } = ReadMode;
  assert.deepEqual(modes, [Stale, Current, Current, Current, Current, Current]);
  // Each watch begins with its shortest period, which isn't waited for if it fails.
  const period = 250;
  assert.deepEqual(pauses, [period, period, 50, period, 100, period, 200, period, 400]);
});

// Guards against: a router uses up its processor with watches that the store answers at once, without changes.
test('a watch that shows no change is not followed by another within its shortest period', async () => {
  const position = { era: undefined, revision: 5 };
  const periods: (() => void)[] = [];
  let watches = 0;
  const client: Pick<StoreClient, 'listPage' | 'watch'> = {
    listPage: async () => ({
      ok: true,
      value: { objects: [], unreadable: [], nextCursor: undefined, position },
    }),
    async watch() {
      watches += 1;
      // A feed that doesn't wait would never hand back the processor.
      if (watches > 10) await new Promise(() => {});
      return { ok: true, value: { changes: [], unreadable: [], position } };
    },
  };
  const pause = (): Promise<void> =>
    new Promise((resolve) => {
      periods.push(resolve);
    });
  const availability = { ...createStoreAvailability(), pause };
  const feed = createObjectFeed(createFeedOptions(client, { availability }));
  for (let expected = 1; expected <= 3; expected += 1) {
    await nextIteration();
    await nextIteration();
    assert.equal(watches, expected);
    if (expected === 3) feed.close();
    periods.forEach((end) => end());
  }
});
