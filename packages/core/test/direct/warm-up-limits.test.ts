/** Limits of cold servers: what all routers together send, knowing nothing of each other but their names. */
import assert from 'node:assert/strict';
import test from 'node:test';
import { createHasher } from '../../src/hash/index.js';
import { createWarmUpLimits } from '../../src/direct/servers/limits/warm-up-limits.js';
import { createSampleRouter, sampleConfig, sampleEntry } from './sample.js';

const hasher = await createHasher();
const STEP_MS = 10;
const COLD_MS = 3000;
const WINDOW_MS = 1000;

const names = (count: number): string[] => Array.from({ length: count }, (_none, i) => `r${i}`);

/** Largest number of sends of all routers in one second, and number of all, if each of them always has requests. */
function runFleet(
  known: string[][],
  requestsPerSecond: number,
  serverKey = 'e1@1',
  restartAtMs = Number.POSITIVE_INFINITY,
) {
  const spec = { coldStartMs: COLD_MS, requestsPerSecond };
  const create = (self: string, routers: string[], nowMs: number, coldForMs: number) => {
    const limits = createWarmUpLimits({ hasher, self });
    limits.setRouters(routers);
    limits.record(serverKey, spec, coldForMs, nowMs);
    return limits;
  };
  const fleet = known.map((routers, i) => create(`r${i}`, routers, 0, COLD_MS));
  const sends: number[] = [];
  for (let nowMs = 0; nowMs < COLD_MS; nowMs += STEP_MS) {
    if (nowMs === restartAtMs) fleet[0] = create('r0', known[0]!, nowMs, COLD_MS - nowMs);
    fleet.forEach((limits) => {
      if (limits.waitMs(serverKey, nowMs) > 0) return;
      limits.recordSend(serverKey, nowMs);
      sends.push(nowMs);
    });
  }
  const inWindow = (startMs: number): number =>
    sends.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS).length;
  return { most: Math.max(...sends.map(inWindow)), total: sends.length };
}

// Guards against a fleet whose routers, each with a small part, send a cold server more than it takes (FAILBACK).
test('4 to 400 routers that learn of a cold server together send at most its limit in any second', () => {
  [4, 5, 7, 11, 13, 27, 60, 150, 400].forEach((count) => {
    [0.5, 3, 12].forEach((requestsPerSecond) => {
      const { most, total } = runFleet(Array(count).fill(names(count)), requestsPerSecond);
      assert.ok(most <= Math.max(1, requestsPerSecond), `${count} routers: ${most}`);
      assert.ok(total > 0, `${count} routers never send to a cold server`);
    });
  });
});

test('routers that know one name more or less than others exceed the limit by one request', () => {
  const known = names(27).map((_name, i) => (i % 2 === 0 ? names(27) : names(28)));
  assert.ok(runFleet(known, 12).most <= 13);
});

test('a router that restarts exceeds the limit by its own part', () => {
  [4, 27].forEach((count) => {
    const part = Math.max(1, Math.floor(12 / count));
    const { most } = runFleet(Array(count).fill(names(count)), 12, 'e1@1', 1500);
    assert.ok(most <= 12 + part, `${most} of ${count} routers`);
  });
});

test('the parts of many cold servers are spread over the routers', () => {
  const senders = new Set<string>();
  names(34).forEach((server) =>
    names(27).forEach((self) => {
      const limits = createWarmUpLimits({ hasher, self });
      limits.setRouters(names(27));
      limits.record(server, { coldStartMs: COLD_MS, requestsPerSecond: 12 }, COLD_MS, 0);
      if (limits.waitMs(server, 0) <= WINDOW_MS) senders.add(self);
    }),
  );
  assert.equal(senders.size, 27);
});

function createColdRouter() {
  const config = sampleConfig();
  config.services[0]!.cold = { coldStartMs: COLD_MS, requestsPerSecond: 2 };
  return createSampleRouter([sampleEntry('e1', { coldForMs: 0 })], config);
}
const isSent = (router: ReturnType<typeof createColdRouter>, id: string): boolean =>
  router.request(id).some(({ kind }) => kind === 'send');

test('a server whose entry says that it is cold gets requests at its limit until it is warm', () => {
  const router = createColdRouter();
  assert.ok(isSent(router, 'q1'));
  router.dispatch({ kind: 'server-changed', entry: sampleEntry('e1', { coldForMs: COLD_MS }) });
  assert.ok(!isSent(router, 'q2'), 'a router that knows no other router sends nothing');
  router.dispatch({ kind: 'peers-listed', routers: ['r1'] });
  router.advance(500);
  assert.ok(isSent(router, 'q3'));
  assert.ok(!isSent(router, 'q4'));
  router.advance(500);
  assert.ok(isSent(router, 'q5'));
  router.advance(COLD_MS);
  assert.ok(isSent(router, 'q6') && isSent(router, 'q7'));
});

test('a stated time that can not be read counts as a start, and is logged', () => {
  const router = createColdRouter();
  const entry = sampleEntry('e1', { invalidColdFor: 'coldLeftMs: expected a number' });
  const effects = router.dispatch({ kind: 'server-changed', entry });
  const events = effects.flatMap((effect) => (effect.kind === 'note' ? effect.event : []));
  assert.deepEqual(events, ['server-changed', 'server-cold', 'server-cold-malformed']);
  assert.ok(!isSent(router, 'q1'));
});
