/** Guards against a store that every router of a growing fleet watches, and against news that hide a change. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { createStoreNews } from '@kingcupsill/core/direct';
import { StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreChange, StoreClient } from '@kingcupsill/prepared-platform';
import { createFollowedNews } from '../../src/store/followed-news.js';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createFeedOptions } from '../standins/feed-options.js';
import { waitUntil } from '../standins/deployment.js';

const kind = StoreKind.Servers;

/** A feed whose store holds `revision` and answers watches as soon as it is later than the watched one; closed after the test. */
function createFollower(
  t: TestContext,
  { isWatching = false, clock = () => performance.now() } = {},
) {
  const stored = { revision: 5 };
  const calls: string[] = [];
  const changed: number[] = [];
  const announced: string[] = [];
  let responses = 0;
  const news = createStoreNews();
  const followed = createFollowedNews({
    news,
    clock,
    isWatching: () => isWatching,
    announce: (announcedKind) => announced.push(announcedKind),
  });
  const client: Pick<StoreClient, 'listPage' | 'watch'> = {
    async listPage() {
      calls.push('list');
      const position = { era: 1, revision: stored.revision };
      return { ok: true, value: { objects: [], nextCursor: undefined, position }, era: 1 };
    },
    async watch(_kind, { revision }, waitMs) {
      calls.push(`watch ${revision}`);
      const deadlineMs = clock() + waitMs;
      while (stored.revision <= revision && clock() < deadlineMs) await delay(5);
      const position = { era: 1, revision: stored.revision };
      const change: StoreChange = {
        object: { name: 'i-1', revision: stored.revision, spec: {} },
        removed: false,
      };
      const changes = stored.revision > revision ? [change] : [];
      return { ok: true, value: { changes, position }, era: 1 };
    },
  };
  const feed = createObjectFeed(
    createFeedOptions(client, {
      kind,
      watchWaitMs: 300,
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
  function hear(revision: number, era = 1): void {
    news.record(kind, { era, revision, confirmedAtMs: clock() });
    followed.wake([kind]);
  }
  return {
    stored,
    calls,
    changed,
    announced,
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
