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
import { createPendingReport, MAX_PENDING_PARTS } from '../../src/direct/pending-report.js';
import { MAX_CACHED_PARTS } from '../../src/direct/servers/prefix-cache-estimate.js';
import { createEmptyReport } from '../../src/direct/reports.js';
import { createSentTokens } from '../../src/direct/servers/sent-tokens.js';
import { createThroughput } from '../../src/direct/servers/throughput.js';
import { sampleConfig, sampleRoute } from './sample.js';

const createLoad = () =>
  createServerLoad({ msPerToken: 0.03, meanResidenceMs: 100, kvCapacityTokens: 100_000 });

test('a sliding sum covers all amounts within its window and none older than 1.1 windows', () => {
  const steps = fc.array(
    fc.tuple(fc.integer({ min: 0, max: 500 }), fc.integer({ min: 1, max: 9 })),
  );
  fc.assert(
    fc.property(steps, (additions) => {
      const sum = createSlidingSum(1000);
      const recorded: [number, number][] = [];
      let nowMs = 0;
      additions.forEach(([gapMs, amount]) => {
        nowMs += gapMs;
        sum.add(nowMs, amount);
        recorded.push([nowMs, amount]);
        const exactSum = (spanMs: number) =>
          recorded
            .filter(([atMs]) => atMs > nowMs - spanMs)
            .reduce((total, [, each]) => total + each, 0);
        assert.ok(sum.total(nowMs) >= exactSum(1000));
        assert.ok(sum.total(nowMs) <= exactSum(1100));
      });
    }),
    { seed: 20261204, numRuns: 300 },
  );
});

test('the throughput converges to that of the spans in which the engine was busy', () => {
  const throughput = createThroughput(0.03);
  for (let index = 0; index < 200; index += 1) {
    const tokens = 500 + ((index * 997) % 20_000);
    throughput.observe({ tokens, ms: 0.05 * tokens });
  }
  assert.ok(Math.abs(throughput.msPerToken() - 0.05) < 0.005);
});

test('the throughput stays within its bounds whatever the spans are', () => {
  const spans = fc.array(fc.record({ tokens: fc.nat(1e9), ms: fc.nat(1e6) }));
  const property = fc.property(spans, (observed) => {
    const throughput = createThroughput(0.03);
    observed.forEach(throughput.observe);
    assert.ok(throughput.msPerToken() >= 0.01 && throughput.msPerToken() <= 0.6);
  });
  fc.assert(property, { seed: 20261207 });
});

test('the tokens sent since a time leave out only those of its first 20 ms, if any', () => {
  const sends = fc.array(fc.tuple(fc.nat(60), fc.nat(5000)), { maxLength: 200 });
  const property = fc.property(sends, fc.nat(4000), (additions, atMs) => {
    const sent = createSentTokens();
    let nowMs = 0;
    const recorded = additions.map(([gapMs, tokens]) => {
      nowMs += gapMs;
      sent.add(nowMs, tokens);
      return { nowMs, tokens };
    });
    const exactSum = (fromMs: number) =>
      recorded
        .filter((entry) => entry.nowMs >= fromMs)
        .reduce((total, { tokens }) => total + tokens, 0);
    assert.ok(sent.since(atMs) <= exactSum(atMs));
    assert.ok(sent.since(atMs) >= exactSum(atMs + 20));
    assert.equal(sent.total(), exactSum(0));
  });
  fc.assert(property, { seed: 20261207 });
});

test('a prompt part counts as cached only after cached parts, and the least recently used parts are evicted', () => {
  const cache = createPrefixCacheEstimate(100);
  const part = (id: string, tokens: number) => ({ id, tokens });
  cache.record([part('a', 40), part('b', 40)]);
  assert.equal(cache.uncachedTokens([part('a', 40), part('b', 40), part('c', 10)]), 10);
  assert.equal(cache.uncachedTokens([part('x', 5), part('b', 40)]), 45);
  cache.record([part('c', 50)]);
  assert.equal(cache.containsAll([part('a', 40)]), false);
  assert.ok(cache.cachedTokens() <= 100);
});

// Guards against a router that ends for lack of heap, because callers state prompt parts of no tokens.
test('the number of remembered prompt parts is bounded, however few tokens they have', () => {
  const cache = createPrefixCacheEstimate(1000);
  const parts = Array.from({ length: 2 * MAX_CACHED_PARTS }, (_item, n) => ({
    id: `p${n}`,
    tokens: 0,
  }));
  cache.record(parts);
  const kept = parts.filter((part) => cache.containsAll([part]));
  assert.deepEqual(kept, parts.slice(-MAX_CACHED_PARTS));
});

// Guards against a router that ends for lack of heap, because a peer takes no reports.
test('a report that waits keeps the latest prompt parts of a server', () => {
  const pending = createPendingReport();
  const ids = Array.from({ length: 2 * MAX_PENDING_PARTS }, (_item, n) => `p${n}`);
  ids.forEach((id) => {
    const promptParts: [string, number][] = [[id, 10]];
    const load = { serverKey: 's', running: 1, sentTokens: 10, sentRequests: 1, promptParts };
    pending.add({ ...createEmptyReport('r'), loads: [load] }, 0);
  });
  const [load] = pending.take(1, 0).loads;
  assert.deepEqual(
    load!.promptParts.map(([id]) => id),
    ids.slice(-MAX_PENDING_PARTS),
  );
  assert.equal(load!.sentRequests, ids.length);
});

test('the estimated wait at a server includes the prompts of all routers', () => {
  const server = createLoad();
  server.recordSend(0, 10_000);
  assert.equal(server.waitMs(0), 300);
  server.recordPeerReport('p', 3, 10_000, 0);
  assert.equal(server.waitMs(0), 600);
  assert.equal(server.running(), 4);
  server.removePeer('p');
  assert.equal(server.running(), 1);
  assert.equal(server.waitMs(600), 0);
});

test('a late first event increases the estimated wait, an early one reduces it', () => {
  const [late, early] = [createLoad(), createLoad()];
  const latePrediction = late.recordSend(0, 10_000);
  const earlyPrediction = early.recordSend(0, 10_000);
  late.recordFirstEvent(latePrediction, 1000);
  early.recordFirstEvent(earlyPrediction, 100);
  assert.ok(late.waitMs(100) > early.waitMs(100));
});

test('an engine that stalls once and then answers all its requests is not believed to have a backlog', () => {
  const server = createLoad();
  const predictions = Array.from({ length: 20 }, (_none, index) =>
    server.recordSend(index * 10, 3000),
  );
  // The engine stands still for two seconds and then answers in order.
  predictions.forEach((prediction, index) => server.recordFirstEvent(prediction, 2000 + index));
  assert.ok(server.waitMs(2100) < 300, `estimated wait ${server.waitMs(2100)} ms`);
});

test('while an engine is late, the prompts behind the late one still count', () => {
  const server = createLoad();
  const first = server.recordSend(0, 3000);
  for (let index = 0; index < 9; index += 1) server.recordSend(10, 10_000);
  server.recordFirstEvent(first, 1000);
  // At least half of the time that they take at the initial speed.
  assert.ok(server.waitMs(1000) > 1350, `estimated wait ${server.waitMs(1000)} ms`);
});

test('a server is avoided after two failed connections, with growing backoff, until it answers', () => {
  const health = createServerHealth();
  health.recordOutcome(AttemptOutcome.Unsent, 0);
  assert.equal(health.avoidUntilMs(), 0);
  health.recordOutcome(AttemptOutcome.Unsent, 10);
  const firstBackoffMs = health.avoidUntilMs() - 10;
  assert.ok(firstBackoffMs > 0);
  health.recordOutcome(AttemptOutcome.Unsent, 1000);
  assert.ok(health.avoidUntilMs() - 1000 > firstBackoffMs);
  health.recordResponse();
  assert.equal(health.avoidUntilMs(), 0);
});

test('the route with the longest path prefix of the host is used, regardless of the query string', () => {
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

// Guards against paths that keep a router busy: each of 16,000 slashes took a lookup of the path up to there.
test('a path takes as many lookups as there are lengths of prefixes, and finds the same route as a search of all', (t) => {
  const prefix = fc
    .array(fc.constantFrom('a', 'bb', ''))
    .map((parts) => `/${parts.map((part) => `${part}/`).join('')}`);
  const lookups = [t.mock.method(Map.prototype, 'has'), t.mock.method(Map.prototype, 'get')];
  const countLookups = (): number => lookups.reduce((sum, { mock }) => sum + mock.callCount(), 0);
  fc.assert(
    fc.property(
      fc.array(prefix),
      prefix,
      fc.constantFrom('', 'c', '?/a/'),
      (prefixes, start, end) => {
        const routes = prefixes.map((pathPrefix) => sampleRoute({ pathPrefix }));
        const path = `${start}${end}`;
        const [pathname] = path.split('?');
        const expected = routes
          .filter(({ pathPrefix }) => pathname!.startsWith(pathPrefix))
          .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0]?.pathPrefix;
        const table = createRouteTable(sampleConfig(1, routes));
        assert.equal(table.findRoute('a.example', path)?.pathPrefix, expected);
        lookups.forEach(({ mock }) => mock.resetCalls());
        table.findRoute('a.example', `/${'/'.repeat(16_000)}`);
        // Besides the prefixes, the host and the route itself.
        assert.ok(countLookups() <= prefixes.length + 2);
      },
    ),
    { seed: 71_003 },
  );
});

test('services are picked in proportion to their weights, never one of weight 0', () => {
  const services = [
    { service: 'none', weight: 0 },
    { service: 'most', weight: 9 },
    { service: 'few', weight: 1 },
  ];
  const route = sampleRoute({ services });
  const picked = Array.from({ length: 100 }, (_none, index) => pickService(route, index / 100));
  assert.equal(picked.filter((service) => service === 'most').length, 90);
  assert.equal(picked.filter((service) => service === 'few').length, 10);
});
