/** Fault injection scenarios under load; each sends more than 10,000 requests. */
import type { AccountLoad, CallTemplate } from '../load/index.js';
import { PRISM_WORKS } from './deployments.js';
import { injectStoreFaults, drainOneOfEach, killInTurn, pauseInTurn } from './fault-scripts.js';
import { noteMix, plainMix, combineMixes } from './mixes.js';
import { createTopology } from './topologies.js';
import type { Scenario } from './types.js';

const DEFAULT_ROUTERS = 6;
const DEFAULT_SECONDS = 60;
const RATE_PER_ACCOUNT = 11.5;

type LoadOverrides = Pick<AccountLoad, 'keyedFraction' | 'repeatFraction' | 'maxRepeatDelayMs'>;

const mixedTraffic = combineMixes([1, noteMix(PRISM_WORKS)], [2, plainMix(PRISM_WORKS, 1, 1)]);
const recordTraffic = combineMixes([1, noteMix(PRISM_WORKS)], [6, plainMix(PRISM_WORKS, 1, 4)]);

function createEvenLoads(mix: CallTemplate[], overrides: LoadOverrides = {}): AccountLoad[] {
  return PRISM_WORKS.accounts.map(({ id }) => ({
    account: id,
    ratePerSecond: RATE_PER_ACCOUNT,
    phases: [],
    mix,
    ...overrides,
  }));
}

type FaultScenario = Pick<Scenario, 'name' | 'description' | 'loads' | 'injectFaults'>;

function createFaultScenario(scenario: FaultScenario): Scenario {
  return {
    defaultRouters: DEFAULT_ROUTERS,
    defaultSeconds: DEFAULT_SECONDS,
    topology: (routers) => createTopology(PRISM_WORKS, routers),
    ...scenario,
  };
}

export const drain = createFaultScenario({
  name: 'drain',
  description: 'an engine, a router and a sidecar are drained under load and return to service',
  loads: createEvenLoads(mixedTraffic),
  injectFaults: drainOneOfEach,
});

export const restart = createFaultScenario({
  name: 'restart',
  description: 'routers and sidecars are killed under load and restarted',
  loads: createEvenLoads(mixedTraffic),
  injectFaults: killInTurn,
});

export const partition = createFaultScenario({
  name: 'partition',
  description: 'routers and sidecars lose their links for a few seconds and rejoin the fleet',
  loads: createEvenLoads(mixedTraffic),
  injectFaults: pauseInTurn,
});

export const storeOutage = createFaultScenario({
  name: 'store-outage',
  description: 'the object service is unavailable, then slow, then drops responses to writes',
  loads: createEvenLoads(mixedTraffic, { keyedFraction: 0.3 }),
  injectFaults: injectStoreFaults,
});

export const repeat = createFaultScenario({
  name: 'repeat',
  description: 'callers repeat records with idempotency keys through other routers',
  loads: createEvenLoads(recordTraffic, {
    keyedFraction: 0.8,
    repeatFraction: 0.5,
    maxRepeatDelayMs: 400,
  }),
});
