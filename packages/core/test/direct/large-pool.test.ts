/** Constant load on a pool so large that its configured total throughput is a poor estimate of one engine's throughput. */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { AttemptOutcome, createCandidatePool, createEmptyReport } from '../../src/direct/index.js';
import { createSampleRouter, sampleConfig, sampleEntry } from './sample.js';

const ENGINE_COUNT = 250;
/** Actual prefill time per token of the simulated engines. */
const MS_PER_TOKEN = 0.02;
/** Fixed part of the time to the first event. */
const BASE_MS = 30;
/** Time from the first event to the end of the answer. */
const ANSWER_MS = 300;

interface ScheduledEvent {
  atMs: number;
  event: Parameters<ReturnType<typeof createSampleRouter>['dispatch']>[0];
}

/** Distribution of the load over this router and its peers. */
interface PeerLoad {
  /** Number of peers' requests in each step. */
  requestsPerStep: number;
  /** Number of steps from one request of this router to the next. */
  stepsPerOwnRequest: number;
}

const NO_PEERS: PeerLoad = { requestsPerStep: 0, stepsPerOwnRequest: 1 };

/** Simulates `seconds` of load in steps of `stepMs`; counts this router's requests and refusals after the first half second. */
function simulateLoad(
  engineTokensPerSecond: number,
  stepMs: number,
  seconds: number,
  peers: PeerLoad = NO_PEERS,
) {
  const entries = Array.from({ length: ENGINE_COUNT }, (_none, index) => sampleEntry(`e${index}`));
  const router = createSampleRouter(entries, { ...sampleConfig(), engineTokensPerSecond });
  const freeAtMs = new Map<string, number>();
  const scheduled: ScheduledEvent[] = [];
  let refused = 0;
  let measured = 0;
  for (let atMs = 0; atMs < seconds * 1000; atMs += stepMs) {
    scheduled
      .filter((each) => each.atMs <= router.now())
      .sort((a, b) => a.atMs - b.atMs)
      .forEach((each) => {
        scheduled.splice(scheduled.indexOf(each), 1);
        router.dispatch(each.event);
      });
    const loads = Array.from({ length: peers.requestsPerStep }, (_none, index) => ({
      serverKey: `e${((atMs / stepMs) * peers.requestsPerStep + index) % ENGINE_COUNT}@1`,
      running: 1,
      sentTokens: 17_000,
      sentRequests: 1,
      promptParts: [],
    }));
    if (peers.requestsPerStep > 0) {
      const report = { ...createEmptyReport('peer'), loads };
      router.dispatch({ kind: 'peer-report', report });
    }
    if ((atMs / stepMs) % peers.stepsPerOwnRequest === 0) {
      const promptParts = [{ id: `own-${atMs}`, tokens: 17_000 }];
      const attributes = { promptParts, promptTokens: 17_000 };
      const [effect] = router.request(`r${atMs}`, attributes, (atMs * 0.618) % 1);
      if (atMs >= 500) measured += 1;
      if (effect?.kind === 'send') {
        const { attempt, serverKey } = effect;
        const firstEventAtMs =
          Math.max(router.now(), freeAtMs.get(serverKey) ?? 0) + 17_000 * MS_PER_TOKEN + BASE_MS;
        freeAtMs.set(serverKey, firstEventAtMs - BASE_MS);
        scheduled.push({ atMs: firstEventAtMs, event: { kind: 'attempt-begun', attempt } });
        const ended = { kind: 'attempt-ended' as const, attempt, outcome: AttemptOutcome.Complete };
        scheduled.push({ atMs: firstEventAtMs + ANSWER_MS, event: { ...ended, detail: '' } });
      } else if (atMs >= 500) refused += 1;
    }
    router.advance(stepMs);
  }
  return { refused, measured };
}

test('engines that are faster than the configured throughput are detected, and nothing is refused', () => {
  // 200 requests per second use 27 % of 250 engines; at the configured throughput, they would need more than twice the pool.
  const { refused, measured } = simulateLoad(1_400_000, 5, 4);
  assert.ok(refused <= measured * 0.01, `${refused} of ${measured} refused`);
});

test('a router that gets few requests and so observes few answers also detects faster engines', () => {
  // The peers' prompts raise the estimated waits of the engines from the start.
  const { refused, measured } = simulateLoad(140_000, 100, 30, {
    requestsPerStep: 20,
    stepsPerOwnRequest: 20,
  });
  assert.ok(refused <= measured * 0.05, `${refused} of ${measured} refused`);
});

test('nothing is refused if the configured throughput is correct', () => {
  const { refused, measured } = simulateLoad(ENGINE_COUNT * (1000 / MS_PER_TOKEN), 5, 4);
  assert.ok(refused <= measured * 0.01, `${refused} of ${measured} refused`);
});

test('a starting router requests the cache contents of only the nearest engines of a large pool', () => {
  const entries = Array.from({ length: ENGINE_COUNT }, (_none, index) =>
    sampleEntry(`e${index}`, { zone: index < 200 ? 'z9' : 'z1' }),
  );
  const queried = createSampleRouter(entries)
    .dispatch({ kind: 'tick' })
    .flatMap((effect) => (effect.kind === 'list-kept' ? [effect.serverKey] : []));
  assert.equal(queried.length, 64);
  const near = queried.filter((server) => Number(server.slice(1).split('@')[0]) >= 200);
  assert.equal(near.length, 50);
});

test('the number of servers considered for a request does not grow with the service, and includes the homes of its prompt', () => {
  const hasher = {
    hash32: (text: string, seed = 0) =>
      createHash('sha1').update(`${seed} ${text}`).digest().readUInt32BE(),
  };
  const createServers = (count: number) =>
    Array.from({ length: count }, (_none, index) => ({
      key: `e${index}@1`,
      entry: sampleEntry(`e${index}`, { zone: `z${index % 20}` }),
      removeAtMs: undefined,
      leaving: false,
    }));
  const options = { hasher, distanceMs: (zone: string) => (zone === 'z1' ? 0 : 16) };
  assert.equal(createCandidatePool(createServers(55), options).select('part', 0.5).length, 55);
  [300, 1000, 6400].forEach((count) => {
    const servers = createServers(count);
    const pool = createCandidatePool(servers, options);
    const home = pool.findHome('part', servers);
    for (let draw = 0; draw < 1; draw += 0.1) {
      const selected = pool.select('part', draw);
      assert.ok(selected.length <= 64);
      assert.ok(selected.some(({ key }) => key === home));
      assert.ok(selected.filter(({ entry }) => entry.zone === 'z1').length >= 15);
    }
    // Without another server, the home stays the same for most prompts.
    const smaller = createCandidatePool(servers.slice(1), options);
    const parts = Array.from({ length: 200 }, (_none, index) => `part-${index}`);
    const moved = parts.filter(
      (part) => pool.findHome(part, servers) !== smaller.findHome(part, servers),
    );
    assert.ok(moved.length <= 4, `${moved.length} of 200 homes moved`);
  });
});

test('every server of a large service gets requests, and a request finds the only available server', () => {
  const entries = Array.from({ length: ENGINE_COUNT }, (_none, index) => sampleEntry(`e${index}`));
  const router = createSampleRouter(entries);
  const used = new Set<string>();
  for (let index = 0; index < ENGINE_COUNT * 8; index += 1) {
    const draw = (index * 0.618) % 1;
    const promptParts = [{ id: `own-${index}`, tokens: 9000 }];
    router.request(`r${index}`, { promptParts, promptTokens: 9000 }, draw).forEach((effect) => {
      if (effect.kind === 'send') used.add(effect.serverKey);
    });
    router.advance(10);
  }
  assert.ok(used.size >= ENGINE_COUNT * 0.9, `${used.size} servers used`);
});
