import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  AttemptOutcome,
  createPrefixCacheEstimate,
  createRouteTable,
  createServerHealth,
  createServerLoad,
  createSlidingSum,
  pickService,
} from '../../src/direct/index.js';
import { createLineFit } from '../../src/direct/line-fit.js';
import { sampleConfig, sampleRoute } from './sample.js';

const load = () =>
  createServerLoad({ msPerToken: 0.03, meanResidenceMs: 100, kvCapacityTokens: 100_000 });

test('a sliding sum holds what was added within its window, as a naive sum does to a tenth of it', () => {
  const steps = fc.array(
    fc.tuple(fc.integer({ min: 0, max: 500 }), fc.integer({ min: 1, max: 9 })),
  );
  fc.assert(
    fc.property(steps, (adds) => {
      const sum = createSlidingSum(1000);
      const all: [number, number][] = [];
      let nowMs = 0;
      adds.forEach(([gapMs, amount]) => {
        nowMs += gapMs;
        sum.add(nowMs, amount);
        all.push([nowMs, amount]);
        const since = (spanMs: number) =>
          all
            .filter(([atMs]) => atMs > nowMs - spanMs)
            .reduce((total, [, each]) => total + each, 0);
        assert.ok(sum.total(nowMs) >= since(1000));
        assert.ok(sum.total(nowMs) <= since(1100));
      });
    }),
    { seed: 20261204, numRuns: 300 },
  );
});

test('a fitted line finds the fixed time and the speed', () => {
  const fit = createLineFit({ slope: 0.03, base: 25, leastSlope: 0.01, mostSlope: 1 });
  for (let index = 0; index < 200; index += 1) {
    const x = (index * 997) % 20_000;
    fit.observe(x, 60 + 0.05 * x);
  }
  assert.ok(Math.abs(fit.slope() - 0.05) < 0.005);
  assert.ok(Math.abs(fit.base() - 60) < 30);
});

test('observations that are all alike leave the speed within its bounds', () => {
  const fit = createLineFit({ slope: 0.03, base: 25, leastSlope: 0.01, mostSlope: 1 });
  for (let index = 0; index < 1000; index += 1) fit.observe(0, 5000);
  assert.ok(fit.slope() >= 0.01 && fit.slope() <= 1);
});

test('a part counts as kept only behind kept parts, and the least recently used ones leave', () => {
  const cache = createPrefixCacheEstimate(100);
  const part = (id: string, tokens: number) => ({ id, tokens });
  cache.record([part('a', 40), part('b', 40)]);
  assert.equal(cache.uncachedTokens([part('a', 40), part('b', 40), part('c', 10)]), 10);
  assert.equal(cache.uncachedTokens([part('x', 5), part('b', 40)]), 45);
  cache.record([part('c', 50)]);
  assert.equal(cache.containsAll([part('a', 40)]), false);
  assert.ok(cache.cachedTokens() <= 100);
});

test('prompts of all routers add to the wait that a server is believed to have', () => {
  const server = load();
  server.recordSend(0, 10_000);
  assert.equal(server.waitMs(0), 300);
  server.recordPeerReport('p', 3, 10_000, 0);
  assert.equal(server.waitMs(0), 600);
  assert.equal(server.running(), 4);
  server.removePeer('p');
  assert.equal(server.running(), 1);
  assert.equal(server.waitMs(600), 0);
});

test('a first event that comes late adds to the wait believed, one that comes early takes from it', () => {
  const [late, early] = [load(), load()];
  const lateTicket = late.recordSend(0, 10_000);
  const earlyTicket = early.recordSend(0, 10_000);
  late.recordFirstEvent(lateTicket, 1000);
  early.recordFirstEvent(earlyTicket, 100);
  assert.ok(late.waitMs(100) > early.waitMs(100));
});

test('a server that is unreachable twice is left alone, for longer each time, until it answers', () => {
  const health = createServerHealth();
  health.recordOutcome(AttemptOutcome.Unsent, 0);
  assert.equal(health.avoidUntilMs(), 0);
  health.recordOutcome(AttemptOutcome.Unsent, 10);
  const first = health.avoidUntilMs() - 10;
  assert.ok(first > 0);
  health.recordOutcome(AttemptOutcome.Unsent, 1000);
  assert.ok(health.avoidUntilMs() - 1000 > first);
  health.recordResponse();
  assert.equal(health.avoidUntilMs(), 0);
});

test('the longest prefix of the host wins, whatever follows the question mark', () => {
  const routes = [
    sampleRoute({ name: 'short', pathPrefix: '/a/' }),
    sampleRoute({ name: 'long', pathPrefix: '/a/b/' }),
    sampleRoute({ name: 'root', pathPrefix: '/', host: 'b.example' }),
  ];
  const table = createRouteTable(sampleConfig(1, routes));
  assert.equal(table.findRoute('a.example', '/a/b/c?x=/d/')?.name, 'long');
  assert.equal(table.findRoute('A.example:80', '/a/b')?.name, 'short');
  assert.equal(table.findRoute('a.example', '/a?/a/b/'), undefined);
  assert.equal(table.findRoute('b.example', '/any')?.name, 'root');
  assert.equal(table.findRoute('c.example', '/a/'), undefined);
});

test('services are drawn by weight, and never one of weight 0', () => {
  const services = [
    { service: 'none', weight: 0 },
    { service: 'most', weight: 9 },
    { service: 'few', weight: 1 },
  ];
  const route = sampleRoute({ services });
  const drawn = Array.from({ length: 100 }, (_each, index) => pickService(route, index / 100));
  assert.equal(drawn.filter((service) => service === 'most').length, 90);
  assert.equal(drawn.filter((service) => service === 'few').length, 10);
});
