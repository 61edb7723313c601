/** Models of the users' deployments at their present sizes. */
import { createAccounts } from './topologies.js';
import type { Deployment } from './topologies.js';

const ACCOUNTS = 16;
const LARGE_ACCOUNTS = 3;

/** Three regions with one availability zone each; 8 engines and 3 workshop servers. */
export const PRISM_WORKS: Deployment = {
  locations: [
    { region: 'kingston', zone: 'kingston-1' },
    { region: 'montego', zone: 'montego-1' },
    { region: 'mandeville', zone: 'mandeville-1' },
  ],
  engines: 8,
  engineSlots: 8,
  appServers: 3,
  appSlots: 4,
  model: 'optics-7b',
  plainService: 'workshop',
  accounts: createAccounts(ACCOUNTS, LARGE_ACCOUNTS, ['optics-7b', 'workshop']),
};

/** Three regions with one availability zone each; 6 engines and 3 order and stock servers. */
export const BISTRA: Deployment = {
  locations: [
    { region: 'osrednja', zone: 'osrednja-1' },
    { region: 'stajerska', zone: 'stajerska-1' },
    { region: 'primorska', zone: 'primorska-1' },
  ],
  engines: 6,
  engineSlots: 8,
  appServers: 3,
  appSlots: 4,
  model: 'reminder-7b',
  plainService: 'stock',
  accounts: createAccounts(ACCOUNTS, LARGE_ACCOUNTS, ['reminder-7b', 'stock']),
};
