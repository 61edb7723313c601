/** Scenarios of the scale sweeps: more routers under light load, and more accounts, a tenth of them backlogged. */
import type { AccountLoad } from '../load/index.js';
import { PRISM_WORKS } from './deployments.js';
import { adviceMix, noteMix } from './mixes.js';
import { createAccounts, createTopology } from './topologies.js';
import type { Deployment } from './topologies.js';
import type { Scenario } from './types.js';

const ENGINES = 4;
const APP_SERVERS = 1;
const LARGE_ACCOUNTS = 3;
const DEFAULT_SECONDS = 12;

/** Maximum number of links of a sidecar; with few sidecars, each needs links to all routers. */
const MAX_LINKS = 64;

/** Total request rate of the fleet in the sweep over routers. */
const LIGHT_RATE_PER_SECOND = 40;

/** Total request rate of all backlogged accounts; exceeds the capacity of the engines. */
const BACKLOG_RATE_PER_SECOND = 80;
const BACKLOGGED_FRACTION = 0.1;

function createSmallDeployment(accounts: number): Deployment {
  const services = [PRISM_WORKS.model, PRISM_WORKS.plainService];
  return {
    ...PRISM_WORKS,
    engines: ENGINES,
    appServers: APP_SERVERS,
    accounts: createAccounts(accounts, LARGE_ACCOUNTS, services),
  };
}

function createScaleScenario(accounts: number, loads: (ids: string[]) => AccountLoad[]): Scenario {
  const deployment = createSmallDeployment(accounts);
  return {
    name: 'scale',
    description: 'sweeps over the numbers of routers and accounts to measure slopes',
    defaultRouters: 6,
    defaultSeconds: DEFAULT_SECONDS,
    topology: (routers) => ({
      ...createTopology(deployment, routers),
      sidecarSettings: { fairness: { max_links: MAX_LINKS } },
    }),
    loads: loads(deployment.accounts.map(({ id }) => id)),
  };
}

/** Creates the scenario with a light load from 16 accounts. */
export function lightScenario(): Scenario {
  return createScaleScenario(PRISM_WORKS.accounts.length, (ids) =>
    ids.map((account) => ({
      account,
      ratePerSecond: LIGHT_RATE_PER_SECOND / ids.length,
      phases: [],
      mix: noteMix(PRISM_WORKS),
    })),
  );
}

/** Creates the scenario in which a tenth of the accounts overloads the engines and the others are idle. */
export function backlogScenario(accounts: number): Scenario {
  return createScaleScenario(accounts, (ids) => {
    const backlogged = ids.slice(0, Math.max(2, Math.round(ids.length * BACKLOGGED_FRACTION)));
    return backlogged.map((account) => ({
      account,
      ratePerSecond: BACKLOG_RATE_PER_SECOND / backlogged.length,
      phases: [],
      mix: adviceMix(PRISM_WORKS),
    }));
  });
}
