/** How often the store is called: each call is paid, also those that fail. Pattern: changes close together, and an outage. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreChange, StoreClient } from '@kingcupsill/prepared-platform';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createStoreAvailability } from '../../src/store/store-availability.js';
import { createRecordingLogger } from '../standins/recording-logger.js';

/** A store that lists nothing; its watches are the test's. */
function createClient(watch: () => ReturnType<StoreClient['watch']>): StoreClient {
  const client: Pick<StoreClient, 'listPage' | 'watch'> = {
    async listPage() {
      return { ok: true, value: { objects: [], nextCursor: undefined, revision: 5 } };
    },
    watch,
  };
  return client as StoreClient;
}

function feedOptions() {
  return {
    watchWaitMs: 1500,
    batchDelayMs: 250,
    logger: createRecordingLogger(),
    random: () => 0.5,
    onCallEnded: () => undefined,
    onResponse: () => undefined,
    onListed: () => undefined,
  };
}

test('changes that come close together take few calls, and the first one is seen at once', async () => {
  const startedAtMs = performance.now();
  const seenAtMs: number[] = [];
  let calls = 0;
  const change: StoreChange = { object: { name: 'main', revision: 6, spec: {} }, removed: false };
  const contact = createStoreAvailability();
  const client = createClient(async () => {
    calls += 1;
    // There is always another change.
    await delay(5);
    return { ok: true, value: { changes: [change], revision: 6 } };
  });
  const feed = createObjectFeed({
    ...feedOptions(),
    client,
    availability: contact,
    kind: StoreKind.Configuration,
    onChanged: () => seenAtMs.push(performance.now() - startedAtMs),
  });
  await delay(900);
  feed.close();
  contact.close();
  assert.ok(seenAtMs[0]! < 150, `first change seen after ${seenAtMs[0]} ms`);
  assert.ok(calls >= 3 && calls <= 5, `${calls} calls`);
});

test('while the store is down, one of several feeds asks for all, and all go on at its return', async () => {
  const contact = createStoreAvailability();
  const state = { down: false };
  const asked: Record<string, number> = {};
  const answeredAfterMs: number[] = [];
  let upAtMs = 0;
  const kinds = [StoreKind.Configuration, StoreKind.Servers, StoreKind.Routers];
  const feeds = kinds.map((kind) => {
    let waits: NodeJS.Timeout;
    const client = createClient(async () => {
      if (state.down) {
        asked[kind] = (asked[kind] ?? 0) + 1;
        return { ok: false, failure: StoreFailure.Rejected, detail: 'status 503' };
      }
      if (upAtMs > 0) {
        answeredAfterMs.push(performance.now() - upAtMs);
        await new Promise((resolve) => {
          waits = setTimeout(resolve, 10_000);
        });
      } else await delay(20);
      return { ok: true, value: { changes: [], revision: 5 } };
    });
    const feed = createObjectFeed({
      ...feedOptions(),
      client,
      availability: contact,
      kind,
      onChanged: () => undefined,
    });
    return () => {
      feed.close();
      clearTimeout(waits);
    };
  });
  await delay(50);
  state.down = true;
  await delay(2000);
  state.down = false;
  upAtMs = performance.now();
  await delay(700);
  feeds.forEach((close) => close());
  contact.close();
  const counts = Object.values(asked).sort((a, b) => b - a);
  // Three feeds that asked as often as the first one would have made over 20 calls.
  assert.ok(counts[0]! >= 4, `asked ${counts.join(', ')} times`);
  assert.ok(
    counts.reduce((sum, count) => sum + count, 0) <= 16,
    `asked ${counts.join(', ')} times`,
  );
  assert.ok(answeredAfterMs.length >= 3, 'all feeds went on');
  assert.ok(Math.max(...answeredAfterMs.slice(0, 3)) <= 600);
});
