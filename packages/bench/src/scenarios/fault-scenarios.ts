/** Scenarios that break things under load; each offers more than 10,000 requests. */
import type { AccountLoad, CallTemplate } from '../load/index.js';
import { PRISM_WORKS } from './deployments.js';
import { breakStore, drainOneOfEach, killInTurn, pauseInTurn } from './fault-scripts.js';
import { noteMix, plainMix, weighMixes } from './mixes.js';
import { createTopology } from './topologies.js';
import type { Scenario } from './types.js';

const DEFAULT_ROUTERS = 6;
const DEFAULT_SECONDS = 60;
const RATE_PER_ACCOUNT = 11.5;

type LoadExtras = Pick<AccountLoad, 'keyedFraction' | 'repeatFraction' | 'maxRepeatDelayMs'>;

const mixedCalls = weighMixes([1, noteMix(PRISM_WORKS)], [2, plainMix(PRISM_WORKS, 1, 1)]);
const recordCalls = weighMixes([1, noteMix(PRISM_WORKS)], [6, plainMix(PRISM_WORKS, 1, 4)]);

function evenLoad(mix: CallTemplate[], extras: LoadExtras = {}): AccountLoad[] {
  return PRISM_WORKS.accounts.map(({ id }) => ({
    account: id,
    ratePerSecond: RATE_PER_ACCOUNT,
    phases: [],
    mix,
    ...extras,
  }));
}

type FaultScenario = Pick<Scenario, 'name' | 'description' | 'loads' | 'injectFaults'>;

function faultScenario(scenario: FaultScenario): Scenario {
  return {
    defaultRouters: DEFAULT_ROUTERS,
    defaultSeconds: DEFAULT_SECONDS,
    topology: (routers) => createTopology(PRISM_WORKS, routers),
    ...scenario,
  };
}

export const drain = faultScenario({
  name: 'drain',
  description: 'an engine, a router and a sidecar are drained under load and come back',
  loads: evenLoad(mixedCalls),
  injectFaults: drainOneOfEach,
});

export const restart = faultScenario({
  name: 'restart',
  description: 'routers and sidecars are killed under load and started again',
  loads: evenLoad(mixedCalls),
  injectFaults: killInTurn,
});

export const partition = faultScenario({
  name: 'partition',
  description: 'routers and sidecars are cut off from the others for seconds and rejoin',
  loads: evenLoad(mixedCalls),
  injectFaults: pauseInTurn,
});

export const storeOutage = faultScenario({
  name: 'store-outage',
  description: 'the object service is down, slow, and loses answers of writes',
  loads: evenLoad(mixedCalls, { keyedFraction: 0.3 }),
  injectFaults: breakStore,
});

export const repeat = faultScenario({
  name: 'repeat',
  description: 'callers repeat keyed records through other routers',
  loads: evenLoad(recordCalls, { keyedFraction: 0.8, repeatFraction: 0.5, maxRepeatDelayMs: 400 }),
});
