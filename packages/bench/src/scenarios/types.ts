/** Types of scenarios. */
import type { Fleet, FleetProcess, Topology } from '../fleet/index.js';
import type { AccountLoad } from '../load/index.js';
import type { Random } from '../load/random.js';

/** Scheduling policy of the fleet under test. */
export const Policy = {
  Fair: 'fair',
  Naive: 'naive',
  Single: 'single',
} as const;
export type Policy = (typeof Policy)[keyof typeof Policy];

/** Time in which a backend server should take no new work. */
export interface DrainWindow {
  backend: string;
  startMs: number;
  endMs: number;
}

/** What a fault script may use. */
export interface FaultContext {
  fleet: Fleet;
  random: Random;
  /** Length of the run, in seconds. */
  seconds: number;
  /** Resolves at a part of the run, 0 to 1. */
  waitForFraction: (part: number) => Promise<void>;
  /** Takes a router out of the callers' choice. */
  removeFromRotation: (router: FleetProcess) => void;
  /** Puts a router back into the callers' choice once it is ready. */
  returnToRotation: (router: FleetProcess) => Promise<void>;
  /** Tells that a backend server was asked to drain at a time, and was let in again at another; wall clock. */
  recordDrain: (window: DrainWindow) => void;
  /** Notes what was done, for the result. */
  note: (text: string) => void;
}

/** What to start and offer, and what to break meanwhile. */
export interface Scenario {
  name: string;
  /** One line for the help text. */
  description: string;
  defaultRouters: number;
  defaultSeconds: number;
  topology: (routers: number) => Topology;
  loads: readonly AccountLoad[];
  /** Accounts whose first-token times are reported; all when absent. */
  reportedAccounts?: readonly string[];
  /** Load of the run that the reported accounts are compared with. */
  baselineLoads?: readonly AccountLoad[];
  /** Does its damage while the load runs. */
  injectFaults?: (context: FaultContext) => Promise<void>;
}
