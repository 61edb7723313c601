import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AttemptOutcome,
  createCrashEvidence,
  createCrashNews,
  hasCrashNews,
  createReportExchange,
  createServerLimits,
  createStoreNews,
  applyCrashNews,
  blockCulprits,
  LinkKind,
  recordAttemptEnd,
} from '../../src/direct/index.js';
import type { CrashEvidence, CrashNews } from '../../src/direct/index.js';
import { createSimulation, isSend } from './crash-simulation.js';
import type { Totals } from './crash-simulation.js';

const CONTACT_MS = 3000;

/** Plays 20 s of sound requests, one in four of which is accompanied by one with the crashing part. */
function play(routerCount: number): Totals {
  const simulation = createSimulation(routerCount);
  const { routers } = simulation;
  for (let index = 0; index < 200; index += 1) {
    const router = routers[index % routerCount]!;
    simulation.send(router, `sound-${index}`, ['first', `document-${index % 3}`]);
    const other = routers[Math.floor(index / 4) % routerCount]!;
    if (index > 20 && index % 4 === 0)
      simulation.send(other, `crashing-${index}`, ['first', 'crashing', `document-${index % 3}`]);
    simulation.step();
  }
  return simulation.totals;
}

for (const routerCount of [1, 5]) {
  // Guards against requests of one kind that crash one server after the other.
  test(`requests with a part that crashes servers stop reaching them, with ${routerCount} routers`, () => {
    const { crashingSentAtMs, crashedAtMs } = play(routerCount);
    const boundMs = (crashedAtMs[4] ?? Number.POSITIVE_INFINITY) + CONTACT_MS;
    const late = crashingSentAtMs.filter((atMs) => atMs > boundMs);
    assert.ok(late.length <= 3, `${late.length} of ${crashingSentAtMs.length} after the bound`);
  });

  // Guards against sound requests that suffer from others that crash their servers.
  test(`sound requests beside a part that crashes servers are served, with ${routerCount} routers`, () => {
    const { soundSent, soundRefusedAtMs, crashedAtMs } = play(routerCount);
    const boundMs = crashedAtMs[Math.min(4, crashedAtMs.length - 1)]! + 2 * CONTACT_MS;
    const sent = soundSent.filter(({ atMs, isRetry }) => atMs > boundMs && !isRetry);
    const refused = soundRefusedAtMs.filter((atMs) => atMs > boundMs);
    assert.ok(sent.length >= 50, `${sent.length} sent`);
    assert.deepEqual(refused, []);
  });
}

// Guards against prompts that are refused because the connections of all servers broke at once.
test('parts of requests that were answered before or after are not held responsible for broken connections', () => {
  const simulation = createSimulation(1);
  const router = simulation.routers[0]!;
  for (let round = 0; round < 10; round += 1) {
    const effects = Array.from({ length: 20 }, (_none, index) =>
      router.request(`${round}-${index}`, {
        promptParts: ['first', `document-${index % 5}`, `own-${round}-${index}`].map((id) => ({
          id,
          tokens: 100,
        })),
        promptTokens: 300,
      }),
    ).flat();
    const sends = effects.filter(isSend);
    assert.equal(sends.length, 20, `round ${round}`);
    sends.forEach(({ attempt }, index) => {
      // In each round, half of the connections break.
      if (index % 2 === round % 2) router.dispatch({ kind: 'attempt-begun', attempt });
      const outcome = index % 2 === round % 2 ? AttemptOutcome.Complete : AttemptOutcome.Unknown;
      const follow = router.dispatch({ kind: 'attempt-ended', attempt, outcome, detail: '' });
      follow.filter(isSend).forEach((retry) => {
        const ended = { attempt: retry.attempt, outcome: AttemptOutcome.Complete, detail: '' };
        router.dispatch({ kind: 'attempt-ended', ...ended });
      });
    });
    router.advance(1000);
    router.dispatch({ kind: 'tick' });
  }
});

function breakAttempts(
  evidence: CrashEvidence,
  serverKeys: string[],
  parts: string[],
  atMs: number,
): void {
  serverKeys.forEach((serverKey, index) => {
    const outcome = AttemptOutcome.Unknown;
    const traits = [...parts, `own-${serverKey}`];
    const ended = { serverKey, outcome, traits, sentAtMs: 0, begunAtMs: undefined };
    recordAttemptEnd(evidence, ended, atMs + index * 10);
  });
}

const THREE_SERVERS = ['e1@1', 'e2@1', 'e3@1'];

test('a blocked part is tried again when its block has ended, and blocked for longer after one more crash', () => {
  const evidence = createCrashEvidence();
  breakAttempts(evidence, THREE_SERVERS, ['first', 'crashing'], 1000);
  evidence.suspects.recordServed(['first'], 1100);
  assert.equal(blockCulprits(evidence, 1400).length, 0);
  assert.equal(blockCulprits(evidence, 1600).length, 1);
  const blockMs = evidence.blocks.remainingMs(['first', 'crashing'], 1600);
  assert.ok(blockMs > 60_000);
  assert.equal(evidence.blocks.remainingMs(['first', 'other'], 1600), 0);
  const endedMs = 1600 + blockMs;
  assert.ok(evidence.blocks.remainingMs(['first', 'crashing'], endedMs) <= 0);
  breakAttempts(evidence, ['e4@1'], ['first', 'crashing'], endedMs + 100);
  assert.equal(blockCulprits(evidence, endedMs + 200).length, 1);
  assert.equal(evidence.blocks.remainingMs(['first', 'crashing'], endedMs + 200), 2 * blockMs);
});

// Guards against a block that ends although one of its parts still crashes servers.
test('an answer to a request with one part of a blocked group leaves the others blocked', () => {
  const evidence = createCrashEvidence();
  breakAttempts(evidence, THREE_SERVERS, ['first', 'crashing'], 1000);
  assert.equal(blockCulprits(evidence, 1600).length, 1);
  assert.equal(evidence.blocks.remainingMs(['crashing'], 1600), 0);
  const outcome = AttemptOutcome.Complete;
  const ended = {
    serverKey: 'e4@1',
    outcome,
    traits: ['first', 'own'],
    sentAtMs: 0,
    begunAtMs: 1700,
  };
  assert.equal(recordAttemptEnd(evidence, ended, 1800).length, 1);
  assert.ok(evidence.blocks.remainingMs(['crashing'], 1800) > 0);
  assert.equal(evidence.blocks.remainingMs(['first'], 1800), 0);
});

test('broken attempts at servers that answer other requests are no crashes', () => {
  const evidence = createCrashEvidence();
  breakAttempts(evidence, THREE_SERVERS, ['rare'], 1000);
  THREE_SERVERS.forEach((serverKey) => evidence.suspects.recordServerAlive(serverKey, 1100));
  assert.equal(blockCulprits(evidence, 2000).length, 0);
});

test('an answer to a request with a suspected part clears it on all routers', () => {
  const [evidence, peer] = [createCrashEvidence(), createCrashEvidence()];
  recordAttemptEnd(
    peer,
    {
      serverKey: 'e9@1',
      outcome: AttemptOutcome.Complete,
      traits: ['rare', 'own'],
      sentAtMs: 0,
      begunAtMs: 900,
    },
    950,
  );
  breakAttempts(evidence, THREE_SERVERS, ['rare'], 1000);
  applyCrashNews(peer, evidence.news, 1050);
  applyCrashNews(evidence, peer.news, 1100);
  assert.equal(blockCulprits(evidence, 2000).length + blockCulprits(peer, 2000).length, 0);
});

const REPORT_PERIOD_MS = 50;

/** Routers whose reports reach the others at different times, some of them a while after they were sent. */
function createFleet(routerCount: number) {
  const fleet = Array.from({ length: routerCount }, createCrashEvidence);
  const sent: { at: CrashEvidence; news: CrashNews; atMs: number }[] = [];
  return {
    fleet,
    exchangeNews(nowMs: number): void {
      fleet.forEach((evidence) => {
        const { news } = evidence;
        evidence.news = createCrashNews();
        if (!hasCrashNews(news)) return;
        fleet.forEach((at, index) => {
          if (at !== evidence) sent.push({ at, news, atMs: nowMs + index * REPORT_PERIOD_MS });
        });
      });
      const due = sent.filter(({ atMs }) => atMs <= nowMs);
      due.forEach((report) => {
        sent.splice(sent.indexOf(report), 1);
        applyCrashNews(report.at, report.news, nowMs);
      });
    },
  };
}

for (const routerCount of [1, 2, 10]) {
  // Guards against routers that keep a part cleared by repeating to each other that it was answered.
  test(`a part that crashes servers after it was answered is blocked, with ${routerCount} routers`, () => {
    const { fleet, exchangeNews } = createFleet(routerCount);
    const traits = ['changed', 'own'];
    const answered = { outcome: AttemptOutcome.Complete, traits, sentAtMs: 0, begunAtMs: 0 };
    fleet.forEach((evidence, index) => {
      recordAttemptEnd(evidence, { ...answered, serverKey: 'e0@1' }, index * 100);
    });
    const lastMs = 40_000;
    for (let nowMs = 1000; nowMs < lastMs; nowMs += REPORT_PERIOD_MS) {
      const router = fleet[(nowMs / REPORT_PERIOD_MS) % routerCount]!;
      breakAttempts(router, [`e${nowMs}@1`], ['changed'], nowMs);
      exchangeNews(nowMs);
      fleet.forEach((evidence) => blockCulprits(evidence, nowMs));
    }
    const blocking = fleet.filter(({ blocks }) => blocks.remainingMs(['changed'], lastMs) > 0);
    assert.equal(blocking.length, routerCount);
  });
}

// Guards against routers that crash servers again after their own restart.
test('a link that is opened later learns of the blocked parts', () => {
  const { blocks } = createCrashEvidence();
  const exchange = createReportExchange({
    router: 'r1',
    storeNews: createStoreNews(),
    blocks,
    serverLimits: createServerLimits(() => 0),
  });
  blocks.applyPeerBlock({ traits: ['crashing'], remainingMs: 120_000 }, 1000);
  exchange.open('late', LinkKind.Member, 5000);
  assert.deepEqual(exchange.compose('late', 5000)?.crashNews.blocked, [
    { traits: ['crashing'], remainingMs: 116_000 },
  ]);
});
