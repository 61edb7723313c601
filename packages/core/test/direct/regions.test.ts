/** Regions and evacuated zones bind every attempt at a request. */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { AttemptOutcome, RefusalCode } from '../../src/direct/index.js';
import type { DirectEffect } from '../../src/direct/index.js';
import {
  createSampleRouter,
  createSampleState,
  createSampleStore,
  sampleConfig,
  sampleEntry,
  sampleRoute,
} from './sample.js';

const REGION_BY_SERVER = new Map([
  ['e1', 'r1'],
  ['e2', 'r2'],
  ['e3', undefined],
]);
const ENTRIES = [
  sampleEntry('e1', { zone: 'z1' }),
  sampleEntry('e2', { zone: 'z2' }),
  sampleEntry('e3', { zone: 'z3' }),
];

const listServers = (effects: readonly DirectEffect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'send' ? effect.serverId : []));
const findRefusal = (effects: readonly DirectEffect[]) =>
  effects.find((effect) => effect.kind === 'refuse')?.refusal;

function configWith(version: number, routeRegions: string[], accountRegions: string[]) {
  const config = sampleConfig(version, [sampleRoute({ allowedRegions: routeRegions })]);
  config.accounts![0]!.allowedRegions = accountRegions;
  return config;
}

const regions = fc.subarray(['r1', 'r2', 'unknown']);
const step = fc.oneof(
  fc.record({ kind: fc.constant('configure'), route: regions, account: regions }),
  fc.record({ kind: fc.constant('fail'), unsent: fc.boolean() }),
  fc.record({ kind: fc.constant('restart'), id: fc.constantFrom('e1', 'e2', 'e3') }),
);

// Guards against retries and resumptions that leave the regions of the first attempt, or those of a later configuration.
test('no sequence of configurations, server changes and retries sends a request outside its regions', () => {
  fc.assert(
    fc.property(regions, regions, fc.array(step, { maxLength: 8 }), (route, account, steps) => {
      const router = createSampleRouter(ENTRIES, configWith(1, route, account));
      const bindings = [route, account];
      const check = (effects: readonly DirectEffect[]): void =>
        listServers(effects).forEach((id) => {
          const region = REGION_BY_SERVER.get(id);
          const isAllowed = (list: string[]) =>
            list.length === 0 || (region !== undefined && list.includes(region));
          assert.ok(bindings.every(isAllowed), `${id} outside ${JSON.stringify(bindings)}`);
        });
      const attributes = {
        route: sampleRoute({ allowedRegions: route, maxAttempts: 9 }),
        accountRegions: account,
      };
      check(router.request('q1', attributes));
      steps.forEach((change, index) => {
        router.advance(10);
        if ('id' in change) {
          const current = ENTRIES.find(({ id }) => id === change.id)!;
          const entry = { ...current, startedAtMs: 10 + index };
          router.dispatch({ kind: 'server-changed', entry });
        } else if ('unsent' in change) {
          const attempt = router.state.requests.get('q1')?.currentAttempt?.id;
          if (attempt === undefined) return;
          const outcome = change.unsent ? AttemptOutcome.Unsent : AttemptOutcome.Unknown;
          check(router.dispatch({ kind: 'attempt-ended', attempt, outcome, detail: '' }));
        } else {
          bindings.splice(2, 2, change.route, change.account);
          const config = configWith(index + 2, change.route, change.account);
          router.dispatch({ kind: 'configured', config });
        }
      });
    }),
    { seed: 51, numRuns: 300 },
  );
});

test('a request without a server in its regions is refused at once as not run', () => {
  const router = createSampleRouter(ENTRIES, configWith(1, ['r1'], ['r2']));
  const route = router.state.routeTable!.config.routes[0]!;
  const refusal = findRefusal(router.request('q1', { route, accountRegions: ['r2'] }))!;
  assert.equal(refusal.code, RefusalCode.NoServerInRegions);
  assert.equal(refusal.ran, 'no');
  assert.equal(refusal.status, 503);
});

function createEvacuatedRouter() {
  const state = createSampleState('r1/1', true);
  return createSampleRouter(
    ENTRIES.slice(0, 2),
    sampleConfig(),
    'r1/1',
    createSampleStore(),
    state,
  );
}

// Guards against a router that has just started and uses servers before it knows which zones are evacuated.
test('no server is used before the evacuated zones are known', () => {
  const router = createEvacuatedRouter();
  assert.deepEqual(listServers(router.request('q1')), []);
  router.dispatch({ kind: 'evacuations-listed', evacuations: [] });
  assert.equal(listServers(router.request('q2')).length, 1);
});

test('retries avoid a zone that was evacuated meanwhile, until the evacuation is withdrawn', () => {
  const router = createEvacuatedRouter();
  router.dispatch({ kind: 'evacuations-listed', evacuations: [{ zone: 'z2', revision: 7 }] });
  assert.deepEqual(listServers(router.request('q1')), ['e1']);
  const attempt = router.state.requests.get('q1')!.currentAttempt!.id;
  const ended = { kind: 'attempt-ended', outcome: AttemptOutcome.Unsent, detail: '' } as const;
  assert.deepEqual(listServers(router.dispatch({ ...ended, attempt })), ['e1']);
  router.dispatch({ kind: 'zone-evacuated', evacuation: { zone: 'z1', revision: 8 } });
  const next = router.state.requests.get('q1')!.currentAttempt!.id;
  assert.deepEqual(listServers(router.dispatch({ ...ended, attempt: next })), []);
  assert.equal(findRefusal(router.request('q2'))!.code, RefusalCode.NoServer);
  router.dispatch({ kind: 'evacuation-withdrawn', zone: 'z2' });
  assert.deepEqual(listServers(router.request('q3')), ['e2']);
});

test('an evacuation that a later listing lacks is withdrawn', () => {
  const router = createEvacuatedRouter();
  const zones = (evacuations: { zone: string; revision: number }[]) =>
    router
      .dispatch({ kind: 'evacuations-listed', evacuations })
      .flatMap((effect) => (effect.kind === 'note' ? `${effect.event} ${effect.fields.zone}` : []));
  assert.deepEqual(zones([{ zone: 'z1', revision: 7 }]), ['zone-evacuated z1']);
  assert.deepEqual(zones([]), ['zone-evacuation-withdrawn z1']);
});
