import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AttemptOutcome, describeState } from '../../src/direct/index.js';
import type { DirectEvent, RouterReport } from '../../src/direct/index.js';
import {
  createSampleRouter,
  createSampleState,
  createSampleStore,
  expectSend,
  sampleConfig,
  sampleEntry,
  sampleRoute,
} from './sample.js';
import type { SampleRouter } from './sample.js';

type Untimed<T> = T extends DirectEvent ? Omit<T, 'nowMs'> : never;

const INHERITED = ['constructor', '__proto__', 'toString', 'hasOwnProperty', 'valueOf'];
const name = fc.oneof(
  { weight: 4, arbitrary: fc.constantFrom(...INHERITED) },
  fc.constantFrom('', 'length', '0', 'Žalec', '\ud800', 'x'.repeat(4096), 'two\nlines', 'engines'),
  fc.string({ unit: 'binary', maxLength: 8 }),
);
/** Few, so that most requests find a server. */
const service = fc.constantFrom('constructor', '__proto__', '');
const odd = fc.constantFrom(0, 1, -1, 0.5, 1e9, -1e9, Number.MAX_SAFE_INTEGER, 1e308);
const names = fc.array(name, { maxLength: 3 });
const seldom = fc.oneof({ weight: 9, arbitrary: fc.constant<string[]>([]) }, names);
const counts = fc.array(fc.tuple(name, odd), { maxLength: 3 });

const entry = fc
  .record({ id: name, service, zone: name, softwareVersion: name, startedAtMs: odd })
  .map(({ id, ...overrides }) => sampleEntry(id, overrides));
const entries = fc.array(entry, { minLength: 2, maxLength: 6 });
const config = fc
  .array(fc.tuple(name, service, name, seldom), { minLength: 1, maxLength: 4 })
  .map((rows) => ({
    ...sampleConfig(2),
    routes: rows.map(([id, ofRoute, host, allowedRegions]) =>
      sampleRoute({ name: id, host, allowedRegions, services: [{ service: ofRoute, weight: 1 }] }),
    ),
    services: rows.map(([, ofRoute]) => ({
      ...sampleConfig().services[0]!,
      name: ofRoute,
    })),
    accounts: rows.map(([id, , key]) => ({
      name: id,
      apiKeys: [key],
      priority: 0,
      allowedRegions: [],
    })),
  }));
const report: fc.Arbitrary<RouterReport> = fc.record({
  router: name,
  loads: fc.array(
    fc.record({
      serverKey: name,
      running: odd,
      sentTokens: odd,
      sentRequests: odd,
      promptParts: counts,
    }),
    { maxLength: 3 },
  ),
  accounts: fc.array(fc.tuple(name, odd, odd), { maxLength: 3 }),
  leaving: names,
  starts: fc.array(fc.record({ serverKey: name, sentAgeMs: odd, begunAgeMs: odd }), {
    maxLength: 3,
  }),
  storeNews: fc.array(
    fc.record({ kind: name, era: fc.option(odd, { nil: undefined }), revision: odd, ageMs: odd }),
    { maxLength: 3 },
  ),
  crashNews: fc.record({
    crashes: fc.array(fc.tuple(name, seldom), { maxLength: 2 }),
    served: names,
    blocked: fc.array(fc.record({ traits: seldom, remainingMs: odd }), { maxLength: 2 }),
  }),
  limits: fc.array(
    fc.record({
      serverKey: name,
      requestsPerSecond: fc.option(odd, { nil: undefined }),
      ageMs: odd,
    }),
    { maxLength: 2 },
  ),
  demand: counts,
});
const event = fc.oneof(
  config.map((value): Untimed<DirectEvent> => ({ kind: 'configured', config: value })),
  fc.record({
    kind: fc.constant('servers-listed' as const),
    entries,
  }),
  fc.record({ kind: fc.constant('server-changed' as const), entry }),
  fc.record({ kind: fc.constant('server-removed' as const), id: name }),
  fc.record({
    kind: fc.constant('zone-evacuated' as const),
    evacuation: fc.record({ zone: name, revision: odd }),
  }),
  fc.record({ kind: fc.constant('evacuation-withdrawn' as const), zone: name }),
  fc.record({ kind: fc.constant('peer-report' as const), report }),
  fc.record({ kind: fc.constant('peer-gone' as const), router: name }),
  fc.record({ kind: fc.constant('peers-listed' as const), routers: names }),
  fc.record({
    kind: fc.constant('kept-listed' as const),
    serverKey: name,
    promptParts: fc.array(fc.record({ id: name, tokens: odd }), { maxLength: 3 }),
  }),
  fc.constant<Untimed<DirectEvent>>({ kind: 'tick' }),
  fc.constant<Untimed<DirectEvent>>({ kind: 'store-restored' }),
);
const request = fc.record({
  id: name,
  service,
  account: fc.option(name, { nil: undefined }),
  streamId: fc.option(name, { nil: undefined }),
  resumeAfter: fc.oneof({ weight: 5, arbitrary: fc.constant(undefined) }, name),
  part: name,
  outcome: fc.constantFrom(...Object.values(AttemptOutcome)),
});
const step = fc.oneof({ weight: 2, arbitrary: event }, request);

type Arrival = typeof request extends fc.Arbitrary<infer T> ? T : never;

/** Sends a request and ends each of its attempts. Returns the number of attempts. */
function runRequest(
  router: SampleRouter,
  id: string,
  { outcome, part, ...arrival }: Arrival,
): number {
  const promptParts = [{ id: part, tokens: 4000 }];
  const route = sampleRoute({ services: [{ service: arrival.service, weight: 1 }] });
  const attributes = { ...arrival, route, fingerprint: arrival.id, promptParts };
  const effects = router.request(id, attributes);
  let sent = 0;
  for (let effect = effects.pop(); effect !== undefined; effect = effects.pop()) {
    if (effect.kind === 'send') {
      const { attempt, serverKey } = effect;
      sent += 1;
      assert.equal(router.state.registry.get(serverKey)?.entry.service, arrival.service);
      router.dispatch({ kind: 'attempt-begun', attempt });
      router.dispatch({ kind: 'events-delivered', request: id, lastEventId: arrival.id });
      effects.push(...router.dispatch({ kind: 'connection-silent', attempt }));
      effects.push(...router.dispatch({ kind: 'attempt-ended', attempt, outcome, detail: part }));
    }
  }
  return sent;
}

// Guards against a name or a number from the store, a peer, a server or a caller that ends the router.
test('names and numbers of any kind end no router, and requests run only at servers of their service', () => {
  let sent = 0;
  const property = fc.property(
    config,
    entries,
    fc.array(step, { minLength: 20, maxLength: 60 }),
    (first, listed, steps) => {
      const state = createSampleState('r1/1', true);
      const router = createSampleRouter(listed, first, 'r1/1', createSampleStore(), state);
      router.dispatch({ kind: 'evacuations-listed', evacuations: [] });
      steps.forEach((item, index) => {
        router.advance(100);
        if ('kind' in item) router.dispatch(item);
        else sent += runRequest(router, `${item.id}/${index}`, item);
      });
      assert.doesNotThrow(() => JSON.stringify(describeState(state, router.now())));
    },
  );
  fc.assert(property, { seed: 20261207, numRuns: 1000 });
  assert.ok(sent > 1000, `only ${sent} attempts`);
});

// Guards against a peer's report that makes a router refuse all requests as crashing.
test('a block without traits, as a peer may report it, refuses nothing', () => {
  const router = createSampleRouter();
  const crashNews = { crashes: [], served: [], blocked: [{ traits: [], remainingMs: 5000 }] };
  const empty = {
    loads: [],
    accounts: [],
    leaving: [],
    storeNews: [],
    limits: [],
    demand: [],
    starts: [],
  };
  router.dispatch({ kind: 'peer-report', report: { ...empty, router: 'r2/1', crashNews } });
  expectSend(router.request('a'));
});
