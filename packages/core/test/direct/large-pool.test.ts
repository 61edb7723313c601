/** Pattern: steady load on a pool so large that its configured rate says little of one engine. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptOutcome } from '../../src/direct/index.js';
import { createSampleRouter, sampleConfig, sampleEntry } from './sample.js';

const ENGINES = 250;
/** What an engine really needs. */
const MS_PER_TOKEN = 0.02;
const BASE_MS = 30;
const ANSWER_MS = 300;

interface Due {
  atMs: number;
  event: Parameters<ReturnType<typeof createSampleRouter>['feed']>[0];
}

/** Requests of peers in each gap, and in how many gaps one request is the router's own. */
interface PeerLoad {
  requests: number;
  ownEvery: number;
}

const ALONE: PeerLoad = { requests: 0, ownEvery: 1 };

/** Plays `seconds` of a request every `gapMs`; counts refusals after the first half second. */
function playLoad(
  engineTokensPerSecond: number,
  gapMs: number,
  seconds: number,
  peers: PeerLoad = ALONE,
) {
  const entries = Array.from({ length: ENGINES }, (_none, index) => sampleEntry(`e${index}`));
  const router = createSampleRouter(entries, { ...sampleConfig(), engineTokensPerSecond });
  const freeAtMs = new Map<string, number>();
  const due: Due[] = [];
  let refused = 0;
  let asked = 0;
  for (let atMs = 0; atMs < seconds * 1000; atMs += gapMs) {
    due
      .filter((each) => each.atMs <= router.now())
      .sort((a, b) => a.atMs - b.atMs)
      .forEach((each) => {
        due.splice(due.indexOf(each), 1);
        router.feed(each.event);
      });
    const loads = Array.from({ length: peers.requests }, (_none, index) => ({
      serverKey: `e${((atMs / gapMs) * peers.requests + index) % ENGINES}@1`,
      running: 1,
      sentTokens: 17_000,
      promptParts: [],
    }));
    if (peers.requests > 0) {
      router.feed({ kind: 'peer-report', report: { router: 'peer', loads, accounts: [] } });
    }
    if ((atMs / gapMs) % peers.ownEvery === 0) {
      const parts = [{ id: `own-${atMs}`, tokens: 17_000 }];
      const [effect] = router.request(`r${atMs}`, { promptParts: parts, promptTokens: 17_000 });
      if (atMs >= 500) asked += 1;
      if (effect?.kind === 'send') {
        const { attempt, serverKey } = effect;
        const begunAtMs =
          Math.max(router.now(), freeAtMs.get(serverKey) ?? 0) + 17_000 * MS_PER_TOKEN + BASE_MS;
        freeAtMs.set(serverKey, begunAtMs - BASE_MS);
        due.push({ atMs: begunAtMs, event: { kind: 'attempt-begun', attempt } });
        const ended = { kind: 'attempt-ended' as const, attempt, outcome: AttemptOutcome.Complete };
        due.push({ atMs: begunAtMs + ANSWER_MS, event: { ...ended, detail: '' } });
      } else if (atMs >= 500) refused += 1;
    }
    router.pass(gapMs);
  }
  return { refused, asked };
}

test('engines that are faster than the configured rate says are found out, and nothing is refused', () => {
  // 200 requests a second take 27 % of 250 engines; by the configured rate alone they would take over twice of all.
  const { refused, asked } = playLoad(1_400_000, 5, 4);
  assert.ok(refused <= asked * 0.01, `${refused} of ${asked} refused`);
});

test('also by a router that gets few requests, and so sees few answers', () => {
  // Peers' prompts make the engines look busy from the start.
  const { refused, asked } = playLoad(140_000, 100, 30, { requests: 20, ownEvery: 20 });
  assert.ok(refused <= asked * 0.05, `${refused} of ${asked} refused`);
});

test('where the configured rate is right, nothing is refused either', () => {
  const { refused, asked } = playLoad(ENGINES * (1000 / MS_PER_TOKEN), 5, 4);
  assert.ok(refused <= asked * 0.01, `${refused} of ${asked} refused`);
});

test('a starting router asks the near engines of a large pool what they keep, not all of them', () => {
  const entries = Array.from({ length: ENGINES }, (_none, index) =>
    sampleEntry(`e${index}`, { zone: index < 200 ? 'z9' : 'z1' }),
  );
  const asked = createSampleRouter(entries)
    .feed({ kind: 'tick' })
    .flatMap((effect) => (effect.kind === 'list-kept' ? [effect.serverKey] : []));
  assert.equal(asked.length, 64);
  const near = asked.filter((server) => Number(server.slice(1).split('@')[0]) >= 200);
  assert.equal(near.length, 50);
});
