import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AttemptOutcome,
  blockCulprits,
  createCrashEvidence,
  recordAttemptEnd,
  RetryPolicy,
} from '../../src/direct/index.js';
import type { CrashEvidence, RequestAttributes, Route } from '../../src/direct/index.js';
import { createSimulation } from './crash-simulation.js';
import type { Totals } from './crash-simulation.js';
import {
  createSampleRouter,
  expectSend,
  sampleConfig,
  sampleEntry,
  sampleRoute,
} from './sample.js';

const CONTACT_MS = 3000;
const STEPS = 140;
const NO_PROMPT = { promptParts: [], promptTokens: 0 };

const SAFE = { streaming: false, retryPolicy: RetryPolicy.Any };
const UNSAFE = { streaming: false, retryPolicy: RetryPolicy.Never };
const RESUMABLE = { streaming: true, retryPolicy: RetryPolicy.Resume };

interface Repeated {
  name: string;
  route: Partial<Route>;
  attributes: (index: number) => Partial<RequestAttributes>;
}

const SAME_REQUEST = { ...NO_PROMPT, fingerprint: 'crashing' };
const REPEATED: Repeated[] = [
  { name: 'an idempotent request', route: SAFE, attributes: () => SAME_REQUEST },
  { name: 'a non-idempotent request', route: UNSAFE, attributes: () => SAME_REQUEST },
  { name: 'a stream without a prompt', route: RESUMABLE, attributes: () => SAME_REQUEST },
  {
    name: 'a prompt whose own part comes again',
    route: RESUMABLE,
    attributes: (index) => ({
      fingerprint: `other-${index}`,
      promptParts: ['first', 'own-part'].map((id) => ({ id, tokens: 200 })),
    }),
  },
];

/** Plays 14 s of sound requests, beside which one request that crashes its server comes again and again. */
function play({ route, attributes }: Repeated, routerCount: number): Totals {
  const config = sampleConfig(1, [sampleRoute(route)]);
  const simulation = createSimulation(routerCount, config);
  const { routers } = simulation;
  for (let index = 0; index < STEPS; index += 1) {
    const router = routers[index % routerCount]!;
    const sound = { ...attributes(index), fingerprint: `sound-${index}` };
    const promptParts = sound.promptParts?.map(({ id, tokens }) => ({
      id: id === 'own-part' ? `own-${index}` : id,
      tokens,
    }));
    simulation.sendRequest(
      router,
      `sound-${index}`,
      { ...sound, promptParts: promptParts! },
      false,
    );
    const other = routers[Math.floor(index / 4) % routerCount]!;
    if (index > 8 && index % 4 === 0)
      simulation.sendRequest(other, `crashing-${index}`, attributes(index), true);
    simulation.step();
  }
  return simulation.totals;
}

for (const repeated of REPEATED) {
  for (const routerCount of [1, 5]) {
    // Guards against a request that crashes the servers that run it and is sent to further ones whenever it comes again.
    test(`${repeated.name} that crashes servers stops reaching them, with ${routerCount} routers`, () => {
      const { crashingSentAtMs, crashedAtMs, soundSent, soundRefusedAtMs } = play(
        repeated,
        routerCount,
      );
      const boundMs = crashedAtMs[2]! + CONTACT_MS;
      const late = crashingSentAtMs.filter((atMs) => atMs > boundMs);
      assert.ok(late.length <= 3, `${late.length} of ${crashingSentAtMs.length} after the bound`);
      const sound = soundSent.filter(({ atMs, isRetry }) => atMs > boundMs && !isRetry);
      assert.ok(sound.length >= 50, `${sound.length} sound requests sent`);
      assert.deepEqual(
        soundRefusedAtMs.filter((atMs) => atMs > boundMs),
        [],
      );
    });
  }
}

/** Evidence of attempts that broke at these servers, one second after the other; each server had requests with these traits. */
function crashServers(servers: [serverKey: string, requests: string[][]][]): CrashEvidence {
  const evidence = createCrashEvidence();
  servers.forEach(([serverKey, requests], index) =>
    requests.forEach((traits) => {
      const ended = {
        serverKey,
        outcome: AttemptOutcome.Unknown,
        traits,
        sentAtMs: 0,
        begunAtMs: undefined,
      };
      recordAttemptEnd(evidence, ended, (index + 1) * 1000);
    }),
  );
  return evidence;
}

const listBlocked = (evidence: CrashEvidence, nowMs: number): string[][] =>
  evidence.blocks.listActive(nowMs).map(({ traits }) => traits);

// Guards against a block that no request matches, because its traits are those of different requests.
test('of two requests that were at the same crashed servers, the one that goes on crashing is blocked', () => {
  const both = [['request:a'], ['request:b']];
  const together: [string, string[][]][] = [
    ['e1@1', both],
    ['e2@1', both],
    ['e3@1', both],
  ];
  const undecided = crashServers(together);
  blockCulprits(undecided, 4000);
  assert.deepEqual(listBlocked(undecided, 4000), []);
  const decided = crashServers([...together, ['e4@1', [['request:a']]]]);
  blockCulprits(decided, 5000);
  assert.deepEqual(listBlocked(decided, 5000), [['request:a']]);
  const ambiguous = crashServers([...together, ['e4@1', both]]);
  blockCulprits(ambiguous, 5000);
  assert.deepEqual(listBlocked(ambiguous, 5000), [['request:a'], ['request:b']]);
});

// Guards against sound requests that are blocked because several servers reset some of their connections.
test('an answer to a request that was sent after a broken attempt shows that its server has not crashed', () => {
  const router = createSampleRouter(['e1', 'e2', 'e3'].map((id) => sampleEntry(id)));
  const { crashEvidence } = router.state;
  ['e1@1', 'e2@1', 'e3@1'].forEach((serverKey) => {
    const ended = { serverKey, outcome: AttemptOutcome.Unknown, sentAtMs: 0, begunAtMs: undefined };
    recordAttemptEnd(crashEvidence, { ...ended, traits: ['request:unlucky'] }, router.now());
  });
  router.advance(20);
  const sends = [1, 2, 3].map((index) =>
    expectSend(router.request(`sound-${index}`, { ...NO_PROMPT, fingerprint: `sound-${index}` })),
  );
  assert.equal(new Set(sends.map(({ serverKey }) => serverKey)).size, 3);
  router.advance(20);
  sends.forEach(({ attempt }) => router.dispatch({ kind: 'attempt-begun', attempt }));
  router.advance(600);
  router.dispatch({ kind: 'tick' });
  assert.deepEqual(listBlocked(crashEvidence, router.now()), []);
});

// Guards against a block right after the third broken attempt because the servers had broken other attempts before it.
test('an answer can clear a trait for half a second after its own third crash', () => {
  const evidence = createCrashEvidence();
  const servers = ['e1@1', 'e2@1', 'e3@1'];
  const breakAll = (trait: string, atMs: number) =>
    servers.forEach((serverKey) => {
      const ended = {
        serverKey,
        outcome: AttemptOutcome.Unknown,
        sentAtMs: 0,
        begunAtMs: undefined,
      };
      recordAttemptEnd(evidence, { ...ended, traits: [trait] }, atMs);
    });
  breakAll('request:other', 1000);
  breakAll('request:unlucky', 2000);
  evidence.suspects.recordServed(['request:other'], 2040);
  blockCulprits(evidence, 2050);
  assert.deepEqual(listBlocked(evidence, 2050), []);
  blockCulprits(evidence, 2550);
  assert.deepEqual(listBlocked(evidence, 2550), [['request:unlucky']]);
});
