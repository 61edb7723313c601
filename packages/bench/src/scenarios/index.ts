/** All scenarios by name. */
import { drain, partition, repeat, restart, storeOutage } from './fault-scenarios.js';
import { bistra, flood, prismWorks } from './load-scenarios.js';
import type { Scenario } from './types.js';

const list: Scenario[] = [
  prismWorks,
  bistra,
  flood,
  drain,
  restart,
  partition,
  storeOutage,
  repeat,
];

/** Scenarios of `bench run`, without `scale`, which is a sweep of runs. */
export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  list.map((scenario) => [scenario.name, scenario]),
);

export * from './types.js';
export { backlogScenario, lightScenario } from './scale-scenario.js';
