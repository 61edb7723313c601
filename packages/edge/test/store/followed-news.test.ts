/** Guards against a store that every router of a growing fleet watches, and against news that hide a change. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { createStoreNews } from '@kingcupsill/core/direct';
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreChange, StoreClient } from '@kingcupsill/prepared-platform';
import { createFollowedNews, NewsState } from '../../src/store/followed-news.js';
import { planChangeTiming } from '../../src/store/change-timing.js';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import type { LoggedLine } from '../standins/recording-logger.js';
import { createFeedOptions } from '../standins/feed-options.js';
import { waitUntil } from '../standins/deployment.js';

const kind = StoreKind.Servers;
const { maxNewsAgeMs, confirmWaitMs } = planChangeTiming(4000);

/** A feed whose store holds `revision` and answers watches as soon as it is later than the watched one; closed after the test. */
function createFollower(
  t: TestContext,
  { isWatching = false, clock = () => performance.now() } = {},
) {
  /** Watches from a revision below `historyFrom` fail; the first `silentCalls` calls get no answer any more. */
  const stored = {
    revision: 5,
    era: 1,
    historyFrom: 0,
    answeredAtMs: 0,
    lateMs: 0,
    silentCalls: 0,
  };
  const role = { isWatching };
  const calls: string[] = [];
  const logged: LoggedLine[] = [];
  const changed: number[] = [];
  const announced: string[] = [];
  let responses = 0;
  const news = createStoreNews();
  const followed = createFollowedNews({
    news,
    clock,
    logger: createRecordingLogger(logged),
    maxNewsAgeMs,
    isWatching: () => role.isWatching,
    announce: (announcedKind) => announced.push(announcedKind),
  });
  const client: Pick<StoreClient, 'listPage' | 'watch'> = {
    async listPage() {
      calls.push('list');
      stored.answeredAtMs = clock();
      const position = { era: stored.era, revision: stored.revision };
      return {
        ok: true,
        value: { objects: [], unreadable: [], nextCursor: undefined, position },
        era: stored.era,
      };
    },
    async watch(_kind, { revision }, waitMs, _timeoutMs, _mode, signal) {
      calls.push(`watch ${revision}`);
      const number = calls.length;
      const deadlineMs = clock() + waitMs;
      const { era } = stored;
      const isDue = (): boolean =>
        stored.revision > revision || stored.historyFrom > revision || stored.era !== era;
      const isHeld = (): boolean =>
        number <= stored.silentCalls || (!isDue() && clock() < deadlineMs);
      while (isHeld() && signal?.aborted !== true) await delay(5);
      if (revision < stored.historyFrom)
        return { ok: false, failure: StoreFailure.HistoryGone, detail: 'gone', era: stored.era };
      const position = { era: stored.era, revision: stored.revision };
      const change: StoreChange = {
        object: { name: 'i-1', revision: stored.revision, spec: {} },
        removed: false,
      };
      const changes = stored.revision > revision ? [change] : [];
      stored.answeredAtMs = clock();
      // As if the answer waited unread in the router's socket.
      if (stored.lateMs > 0) await delay(stored.lateMs);
      return { ok: true, value: { changes, unreadable: [], position }, era: stored.era };
    },
  };
  const feed = createObjectFeed(
    createFeedOptions(client, {
      kind,
      timing: { watchWaitMs: 300 },
      news: followed,
      onResponse() {
        responses += 1;
      },
      onChanged: ({ object }) => changed.push(object.revision),
    }),
  );
  t.after(() => {
    feed.close();
    followed.wake([kind]);
  });

  /** Delivers news as a report of a peer would. */
  function hear(revision: number, era = 1, ageMs = 0): void {
    news.record(kind, { era, revision, confirmedAtMs: clock() - ageMs });
    followed.wake([kind]);
  }
  return {
    stored,
    calls,
    logged,
    changed,
    announced,
    news,
    role,
    hear,
    responseCount: () => responses,
  };
}

test('while peers confirm that nothing has changed, a router makes no calls, and its store counts as answering', async (t) => {
  const follower = createFollower(t);
  follower.hear(5);
  for (let index = 0; index < 8; index += 1) {
    await delay(100);
    follower.hear(5);
  }
  assert.deepEqual(follower.calls, ['list']);
  assert.ok(follower.responseCount() >= 8);
});

test('an announced change is fetched at once, with one call', async (t) => {
  const follower = createFollower(t);
  follower.hear(5);
  await delay(50);
  follower.stored.revision = 9;
  follower.hear(8);
  const announcedAtMs = performance.now();
  await waitUntil(() => follower.changed.length > 0);
  assert.ok(performance.now() - announcedAtMs < 200);
  follower.hear(8);
  await delay(100);
  assert.deepEqual([follower.calls, follower.changed], [['list', 'watch 5'], [9]]);
});

test('a router whose peers fall silent watches the store itself', async (t) => {
  const follower = createFollower(t);
  follower.hear(5);
  await delay(50);
  follower.stored.revision = 6;
  const silentSinceMs = performance.now();
  await waitUntil(() => follower.changed.length > 0);
  // Well within the shortest time in which a change must be in force.
  assert.ok(performance.now() - silentSinceMs < 2000);
});

// Guards against a feed that finds its news just within their age when its timer fires early, and waits the whole time again.
test('a router whose timers fire early watches the store itself when its peers fall silent', async (t) => {
  const follower = createFollower(t, { clock: () => performance.now() * 0.998 });
  follower.hear(5);
  await delay(50);
  follower.stored.revision = 6;
  const silentSinceMs = performance.now();
  await waitUntil(() => follower.changed.length > 0);
  assert.ok(performance.now() - silentSinceMs < 2000);
});

// Guards against a router that rests on news for their whole lifetime from the time at which it compares them, however old they are by then.
test('a router whose peers fall silent rests no longer than their last news are valid', async (t) => {
  const follower = createFollower(t);
  follower.hear(5, 1, maxNewsAgeMs - 200);
  await delay(50);
  assert.deepEqual(follower.calls, ['list']);
  follower.stored.revision = 6;
  const silentSinceMs = performance.now();
  await waitUntil(() => follower.changed.length > 0);
  assert.ok(performance.now() - silentSinceMs < maxNewsAgeMs / 2);
});

test('news of a later era make the router ask the store', async (t) => {
  const follower = createFollower(t);
  follower.hear(5);
  await delay(50);
  follower.hear(2, 2);
  await waitUntil(() => follower.calls.length > 1);
  assert.equal(follower.calls[1], 'watch 5');
});

test('a watching router announces what it confirms, and follows no one', async (t) => {
  const follower = createFollower(t, { isWatching: true });
  await waitUntil(() => follower.calls.length >= 2);
  follower.stored.revision = 6;
  await waitUntil(() => follower.announced.length >= 1);
});

/** Waits until a router that watches for others has told them of a change after revision 5. */
async function waitForLaterNews({ news }: ReturnType<typeof createFollower>): Promise<void> {
  await waitUntil(() => {
    const latest = news.get(kind);
    return latest !== undefined && (latest.era !== 1 || latest.revision > 5);
  });
}

// Guards against routers that never apply a change because the router that watches for them has learnt of it from a listing.
test('a watching router announces what a listing may have changed after the store has dropped its history', async (t) => {
  const follower = createFollower(t, { isWatching: true });
  await waitUntil(() => follower.announced.length >= 1);
  follower.stored.historyFrom = 9;
  follower.stored.revision = 9;
  await waitForLaterNews(follower);
  // The watch after the listing hasn't been answered yet.
  assert.ok(follower.calls.slice(-2).includes('list'));
  assert.equal(follower.news.get(kind)?.revision, 9);
});

// Guards against the same fault after a restore, whose listing differs from the one before it.
test('a watching router announces what a listing may have changed after the store was restored', async (t) => {
  const follower = createFollower(t, { isWatching: true });
  await waitUntil(() => follower.announced.length >= 1);
  follower.stored.era = 2;
  await waitForLaterNews(follower);
  // The watch after the listing hasn't been answered yet.
  assert.ok(follower.calls.slice(-2).includes('list'));
});

// Guards against a change that a router has learnt of before it begins to watch for others, and never tells them.
test('a router that begins to watch for others announces the changes that it knows', async (t) => {
  const follower = createFollower(t);
  await waitUntil(() => follower.calls.length >= 2);
  follower.hear(5);
  follower.stored.revision = 6;
  await waitUntil(() => follower.changed.length > 0);
  follower.role.isWatching = true;
  await waitForLaterNews(follower);
  assert.equal(follower.news.get(kind)?.revision, 6);
});

// Guards against news that are confirmed by an answer of the store from before the change that they name.
test('a watching router does not confirm a change that its own answers have not reached', async (t) => {
  const follower = createFollower(t, { isWatching: true });
  await waitUntil(() => follower.calls.length >= 2);
  follower.hear(8);
  const heardAtMs = follower.news.get(kind)!.confirmedAtMs;
  let confirmed = false;
  await waitUntil(() => {
    const latest = follower.news.get(kind);
    confirmed ||= latest !== undefined && latest.revision >= 8 && latest.confirmedAtMs > heardAtMs;
    return follower.calls.length >= 5;
  });
  assert.equal(confirmed, false);
});

// Guards against routers that rest on a state from before a change, because the one that confirms it has read the store's answer late.
test('a watching router confirms nothing for a time after the store has answered', async (t) => {
  const follower = createFollower(t, { isWatching: true });
  follower.stored.lateMs = 500;
  for (const revision of [5, 6, 6]) {
    follower.stored.revision = revision;
    const before = follower.announced.length;
    await waitUntil(() => follower.announced.length > before);
    const { confirmedAtMs } = follower.news.get(kind)!;
    assert.ok(confirmedAtMs <= follower.stored.answeredAtMs, `revision ${revision}`);
  }
});

// Guards against followers that ask the store themselves after each change, because its confirmation is as old as the watch that showed it.
test('a watching router confirms a change anew at once', async (t) => {
  const follower = createFollower(t, { isWatching: true });
  await waitUntil(() => follower.announced.length >= 2);
  const changedAtMs = performance.now();
  follower.stored.revision = 6;
  await waitUntil(() => follower.news.get(kind)!.confirmedAtMs >= changedAtMs);
  assert.ok(performance.now() - changedAtMs < confirmWaitMs / 2);
  assert.equal(follower.news.get(kind)!.revision, 6);
});

// Guards against: after a restore a router asks the store without a pause until its peers have noticed the new era as well.
test('news of an earlier era show no change', () => {
  const news = createStoreNews();
  const followed = createFollowedNews({
    news,
    clock: () => 100,
    logger: createRecordingLogger(),
    maxNewsAgeMs,
    isWatching: () => false,
    announce: () => undefined,
  });
  news.record(kind, { era: 1, revision: 90, confirmedAtMs: 100 });
  assert.equal(followed.compare(kind, { era: 2, revision: 5 }), NewsState.Absent);
});

// Guards against a router that learns of a change from others, and still waits for a connection that has gone silent (issue 65).
test('news of a change end a call that the store holds, and the change is fetched by another call', async (t) => {
  const follower = createFollower(t);
  await waitUntil(() => follower.calls.length >= 2);
  follower.stored.silentCalls = follower.calls.length;
  follower.stored.revision = 9;
  follower.hear(9);
  await waitUntil(() => follower.changed.length > 0);
  assert.deepEqual(follower.changed, [9]);
});

// Guards against a peer whose wrong news make a router ask the store again and again, or confirm what the store never had.
test('news of a position that the store has not reached are dropped as soon as it has answered', async (t) => {
  for (const isWatching of [false, true]) {
    const follower = createFollower(t, { isWatching });
    await waitUntil(() => follower.calls.length >= 2);
    follower.hear(1e15);
    await waitUntil(() => follower.logged.some(({ event }) => event === 'store-news-refuted'));
    const callCount = follower.calls.length;
    await delay(250);
    assert.ok(follower.calls.length <= callCount + 2, `${follower.calls.length - callCount} calls`);
    assert.deepEqual(follower.changed, []);
  }
});
