/** Fleets of growing size under light load, and growing numbers of accounts of which a tenth is backlogged. */
import type { AccountLoad } from '../load/index.js';
import { PRISM_WORKS } from './deployments.js';
import { adviceMix, noteMix } from './mixes.js';
import { createAccounts, createTopology } from './topologies.js';
import type { Deployment } from './topologies.js';
import type { Scenario } from './types.js';

const ENGINES = 4;
const APP_SERVERS = 1;
const LARGE_ACCOUNTS = 3;
const SECONDS = 12;

/** Links of a sidecar: enough for every router, since there are few sidecars. */
const MAX_LINKS = 64;

/** Requests per second of the whole fleet in the sweep of routers. */
const LIGHT_RATE_PER_SECOND = 40;

/** Requests per second of all backlogged accounts together; above the capacity of the engines. */
const BACKLOG_RATE_PER_SECOND = 80;
const BACKLOGGED_PART = 0.1;

function smallDeployment(accounts: number): Deployment {
  const services = [PRISM_WORKS.model, PRISM_WORKS.plainService];
  return {
    ...PRISM_WORKS,
    engines: ENGINES,
    appServers: APP_SERVERS,
    accounts: createAccounts(accounts, LARGE_ACCOUNTS, services),
  };
}

function scaleScenario(accounts: number, loads: (ids: string[]) => AccountLoad[]): Scenario {
  const deployment = smallDeployment(accounts);
  return {
    name: 'scale',
    description: 'sweeps of routers and of accounts, for slopes',
    defaultRouters: 6,
    defaultSeconds: SECONDS,
    topology: (routers) => ({
      ...createTopology(deployment, routers),
      sidecarSettings: { fairness: { max_links: MAX_LINKS } },
    }),
    loads: loads(deployment.accounts.map(({ id }) => id)),
  };
}

/** Light load of 16 accounts. */
export function lightScenario(): Scenario {
  return scaleScenario(PRISM_WORKS.accounts.length, (ids) =>
    ids.map((account) => ({
      account,
      ratePerSecond: LIGHT_RATE_PER_SECOND / ids.length,
      phases: [],
      mix: noteMix(PRISM_WORKS),
    })),
  );
}

/** A tenth of the accounts asks for more than the engines can do; the others are idle. */
export function backlogScenario(accounts: number): Scenario {
  return scaleScenario(accounts, (ids) => {
    const backlogged = ids.slice(0, Math.max(2, Math.round(ids.length * BACKLOGGED_PART)));
    return backlogged.map((account) => ({
      account,
      ratePerSecond: BACKLOG_RATE_PER_SECOND / backlogged.length,
      phases: [],
      mix: adviceMix(PRISM_WORKS),
    }));
  });
}
