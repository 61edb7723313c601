import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient } from '@kingcupsill/prepared-platform';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createStoreAvailability } from '../../src/store/store-availability.js';
import { createRecordingLogger } from '../standins/recording-logger.js';

interface Asked {
  call: 'list' | 'watch';
  waitMs: number;
  answerMs: number;
}

/** A store that answers its first calls, then fails `failures` times, then lost its history. */
async function follow(failures: number): Promise<Asked[]> {
  const asked: Asked[] = [];
  const failed = { ok: false as const, failure: StoreFailure.NoResponse, detail: 'silent' };
  const gone = { ok: false as const, failure: StoreFailure.HistoryGone, detail: 'gone' };
  let left = failures;
  return new Promise((resolve) => {
    const client: Pick<StoreClient, 'listPage' | 'watch'> = {
      async listPage(_kind, _after, answerMs) {
        asked.push({ call: 'list', waitMs: 0, answerMs });
        if (asked.length > 1) setImmediate(() => resolve(asked));
        return { ok: true, value: { objects: [], nextCursor: undefined, revision: 5 } };
      },
      async watch(_kind, _revision, waitMs, answerMs) {
        asked.push({ call: 'watch', waitMs, answerMs });
        left -= 1;
        return left >= 0 ? failed : gone;
      },
    };
    const feed = createObjectFeed({
      client: client as StoreClient,
      availability: createStoreAvailability(),
      kind: StoreKind.Servers,
      watchWaitMs: 1500,
      batchDelayMs: 0,
      logger: createRecordingLogger(),
      random: () => 0,
      onCallEnded: () => undefined,
      onResponse: () => undefined,
      onListed() {
        if (asked.length > 1) feed.close();
      },
      onChanged: () => undefined,
    });
  });
}

test('while calls to the store fail, they wait for its first sign only, so that its return is seen soon', async () => {
  const asked = await follow(8);
  const failing = asked.filter(({ call }) => call === 'watch').slice(1);
  assert.equal(failing.length, 8);
  assert.ok(failing.every(({ waitMs }) => waitMs === 0));
  // A cut of one connection is healed by the next call; a store that is only slow gets its longer wait in turn.
  assert.ok(failing.filter(({ answerMs }) => answerMs <= 500).length >= 4);
  assert.ok(failing.some(({ answerMs }) => answerMs >= 1000));
});

test('when its history is gone, the feed lists again', async () => {
  const asked = await follow(0);
  assert.deepEqual(
    asked.map(({ call }) => call),
    ['list', 'watch', 'list'],
  );
});
