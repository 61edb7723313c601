import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '../../src/common/random.js';
import { createCacheFeed } from '../../src/engine/cache-feed.js';

test('events are delayed, and lost events leave gaps in the sequence numbers', () => {
  const feed = createCacheFeed({ lagMs: 50, lossProbability: 0.3, random: createRandom(7) });
  for (let index = 0; index < 100; index += 1) {
    feed.publish({ kind: 'stored', fingerprint: `f${index}` }, index);
  }
  assert.equal(feed.after(0, 49).events.length, 0);
  const early = feed.after(0, 100).events;
  assert.ok(early.every(({ seq }) => seq <= 51));
  const { events, next } = feed.after(0, 1000);
  assert.ok(events.length > 50 && events.length < 90);
  events.forEach(({ seq, fingerprint }) => assert.equal(fingerprint, `f${seq - 1}`));
  assert.equal(next, events.at(-1)?.seq);
  assert.deepEqual(feed.after(next, 1000), { next, events: [] });
});
