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

/** Period during which a backend server must not start new requests; epoch milliseconds. */
export interface DrainWindow {
  backend: string;
  startMs: number;
  endMs: number;
}

/** Context of a fault script. */
export interface FaultContext {
  fleet: Fleet;
  random: Random;
  /** Length of the run, in seconds. */
  seconds: number;
  /** Resolves when the given fraction of the run, 0 to 1, has passed. */
  waitForFraction: (part: number) => Promise<void>;
  /** Removes a router from the load balancer's rotation. */
  removeFromRotation: (router: FleetProcess) => void;
  /** Returns a router to the load balancer's rotation once it is ready. */
  returnToRotation: (router: FleetProcess) => Promise<void>;
  /** Records the period during which a backend server was draining. */
  recordDrain: (window: DrainWindow) => void;
  /** Adds a note to the result. */
  note: (text: string) => void;
}

/** Topology, load and faults of a run. */
export interface Scenario {
  name: string;
  /** One-line description for the help text. */
  description: string;
  defaultRouters: number;
  defaultSeconds: number;
  /** Creates the topology for a number of routers. */
  topology: (routers: number) => Topology;
  loads: readonly AccountLoad[];
  /** Accounts whose first-token times are reported. @default all accounts */
  reportedAccounts?: readonly string[];
  /** Load of the baseline run against which the reported accounts are compared. */
  baselineLoads?: readonly AccountLoad[];
  /** Injects faults while the load is running. */
  injectFaults?: (context: FaultContext) => Promise<void>;
}
