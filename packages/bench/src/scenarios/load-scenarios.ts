/** Scenarios without faults: both deployments, and one account that floods the fleet. */
import type { AccountLoad, CallTemplate, RatePhase } from '../load/index.js';
import { BISTRA, PRISM_WORKS } from './deployments.js';
import { chatMix, plainMix, reminderMix, combineMixes } from './mixes.js';
import { createTopology } from './topologies.js';
import type { Deployment } from './topologies.js';
import type { Scenario } from './types.js';

/** Request rate of each account in a group, and the factor applied to it during the busy phase. */
interface GroupLoad {
  ratePerSecond: number;
  busyFactor: number;
}

/** Load of a deployment by account group: large accounts, busy small accounts and the rest. */
interface DeploymentLoad {
  large: GroupLoad;
  busy: GroupLoad;
  quiet: GroupLoad;
}

const LARGE_ACCOUNTS = 3;
const BUSY_ACCOUNTS = 5;

/** Ends early enough for its backlog to be served within the run. */
const BUSY_PHASE = { from: 0.15, to: 0.6 } as const;
const QUIET_PHASE: RatePhase = { from: 0.6, to: 1, factor: 0.5 };

function createAccountLoads(
  { accounts }: Deployment,
  load: DeploymentLoad,
  mix: CallTemplate[],
): AccountLoad[] {
  const getGroupLoad = (i: number) => {
    if (i < LARGE_ACCOUNTS) return load.large;
    return i < LARGE_ACCOUNTS + BUSY_ACCOUNTS ? load.busy : load.quiet;
  };
  return accounts.map(({ id }, i) => {
    const { ratePerSecond, busyFactor } = getGroupLoad(i);
    return {
      account: id,
      ratePerSecond,
      phases: [{ ...BUSY_PHASE, factor: busyFactor }, QUIET_PHASE],
      mix,
    };
  });
}

const prismMix = combineMixes([4, chatMix(PRISM_WORKS)], [1, plainMix(PRISM_WORKS, 3, 1)]);
const bistraMix = combineMixes([3, reminderMix(BISTRA)], [2, plainMix(BISTRA, 3, 1)]);

/** Prism Works: large accounts and some small ones temporarily exceed their shares by far. */
export const prismWorks: Scenario = {
  name: 'prism-works',
  description: '8 engines, 3 workshop servers, 16 accounts; backlogged for half of the run',
  defaultRouters: 6,
  defaultSeconds: 45,
  topology: (routers) => createTopology(PRISM_WORKS, routers),
  loads: createAccountLoads(
    PRISM_WORKS,
    {
      large: { ratePerSecond: 10, busyFactor: 3.5 },
      busy: { ratePerSecond: 2.5, busyFactor: 3 },
      quiet: { ratePerSecond: 1.5, busyFactor: 1 },
    },
    prismMix,
  ),
};

/** Bistra: reminders, lookups and some long summaries. */
export const bistra: Scenario = {
  name: 'bistra',
  description: '6 engines, 3 order and stock servers, 16 accounts; backlogged for half of the run',
  defaultRouters: 6,
  defaultSeconds: 45,
  topology: (routers) => createTopology(BISTRA, routers),
  loads: createAccountLoads(
    BISTRA,
    {
      large: { ratePerSecond: 10, busyFactor: 3.5 },
      busy: { ratePerSecond: 2.5, busyFactor: 3 },
      quiet: { ratePerSecond: 1.5, busyFactor: 1 },
    },
    bistraMix,
  ),
};

const FLOODING_ACCOUNT = 'account-16';
const FLOOD_RATE_PER_SECOND = 200;

const otherAccountLoads: AccountLoad[] = PRISM_WORKS.accounts
  .filter(({ id }) => id !== FLOODING_ACCOUNT)
  .map(({ id, share }) => ({
    account: id,
    ratePerSecond: 1.5 * share,
    phases: [],
    mix: prismMix,
  }));

const floodingAccountLoad: AccountLoad = {
  account: FLOODING_ACCOUNT,
  ratePerSecond: 1,
  phases: [{ from: 0.25, to: 0.65, factor: FLOOD_RATE_PER_SECOND }],
  mix: prismMix,
};

/** One small account floods the fleet while the others stay below their shares. */
export const flood: Scenario = {
  name: 'flood',
  description: 'one account floods the fleet; the others are compared with a run without the flood',
  defaultRouters: 6,
  defaultSeconds: 40,
  topology: (routers) => createTopology(PRISM_WORKS, routers),
  loads: [...otherAccountLoads, floodingAccountLoad],
  reportedAccounts: otherAccountLoads.map(({ account }) => account),
  baselineLoads: otherAccountLoads,
};
