/** Guards against too many calls to the store, each of which is billed, also failed ones: during bursts of changes and outages. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreChange, StoreClient } from '@kingcupsill/prepared-platform';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createFeedOptions } from '../standins/feed-options.js';
import { createStoreAvailability } from '../../src/store/store-availability.js';

const POSITION = { era: undefined, revision: 5 };

/** Creates a client whose lists are empty and whose watches are supplied by the test. */
function createClient(watch: () => ReturnType<StoreClient['watch']>): StoreClient {
  const client: Pick<StoreClient, 'listPage' | 'watch'> = {
    async listPage() {
      return {
        ok: true,
        value: { objects: [], unreadable: [], nextCursor: undefined, position: POSITION },
      };
    },
    watch,
  };
  return client as StoreClient;
}

const TIMING = { timing: { batchDelayMs: 250 }, random: () => 0.5 };

test('batches frequent changes into few calls and delivers the first change without delay', async () => {
  const startedAtMs = performance.now();
  const changedAfterMs: number[] = [];
  let callCount = 0;
  const change: StoreChange = { object: { name: 'main', revision: 6, spec: {} }, removed: false };
  const contact = createStoreAvailability();
  const client = createClient(async () => {
    callCount += 1;
    // Every watch returns another change.
    await delay(5);
    return { ok: true, value: { changes: [change], unreadable: [], position: POSITION } };
  });
  const feed = createObjectFeed(
    createFeedOptions(client, {
      ...TIMING,
      availability: contact,
      kind: StoreKind.Configuration,
      onChanged: () => changedAfterMs.push(performance.now() - startedAtMs),
    }),
  );
  await delay(900);
  feed.close();
  contact.close();
  assert.ok(changedAfterMs[0]! < 150, `first change seen after ${changedAfterMs[0]} ms`);
  assert.ok(callCount >= 3 && callCount <= 5, `${callCount} calls`);
});

test('probes the store with one of several feeds during an outage and resumes all feeds on recovery', async () => {
  const contact = createStoreAvailability();
  const store = { down: false };
  const failedCalls: Record<string, number> = {};
  const answeredAfterMs: number[] = [];
  let upAtMs = 0;
  const kinds = [StoreKind.Configuration, StoreKind.Servers, StoreKind.Routers];
  const closeFeeds = kinds.map((kind) => {
    let watchTimer: NodeJS.Timeout;
    const client = createClient(async () => {
      if (store.down) {
        failedCalls[kind] = (failedCalls[kind] ?? 0) + 1;
        return { ok: false, failure: StoreFailure.Rejected, detail: 'status 503' };
      }
      if (upAtMs > 0) {
        answeredAfterMs.push(performance.now() - upAtMs);
        await new Promise((resolve) => {
          watchTimer = setTimeout(resolve, 10_000);
        });
      } else await delay(20);
      return { ok: true, value: { changes: [], unreadable: [], position: POSITION } };
    });
    const feed = createObjectFeed(
      createFeedOptions(client, { ...TIMING, availability: contact, kind }),
    );
    return () => {
      feed.close();
      clearTimeout(watchTimer);
    };
  });
  await delay(50);
  store.down = true;
  await delay(2000);
  store.down = false;
  upAtMs = performance.now();
  await delay(700);
  closeFeeds.forEach((close) => close());
  contact.close();
  const counts = Object.values(failedCalls).sort((a, b) => b - a);
  // If all three feeds retried as often as the probing one, there would be more than 20 calls.
  assert.ok(counts[0]! >= 4, `failed calls per feed: ${counts.join(', ')}`);
  assert.ok(
    counts.reduce((sum, count) => sum + count, 0) <= 16,
    `failed calls per feed: ${counts.join(', ')}`,
  );
  assert.ok(answeredAfterMs.length >= 3, 'not every feed resumed');
  assert.ok(Math.max(...answeredAfterMs.slice(0, 3)) <= 600);
});
