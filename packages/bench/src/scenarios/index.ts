/** Scenarios of the bench. */
import { drain, partition, repeat, restart, storeOutage } from './fault-scenarios.js';
import { bistra, flood, prismWorks } from './load-scenarios.js';
import type { Scenario } from './types.js';

const scenarios: Scenario[] = [
  prismWorks,
  bistra,
  flood,
  drain,
  restart,
  partition,
  storeOutage,
  repeat,
];

/** Scenarios of `bench run`, keyed by name; `scale` is missing because it is a sweep of several runs. */
export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  scenarios.map((scenario) => [scenario.name, scenario]),
);

export * from './types.js';
export { backlogScenario, lightScenario } from './scale-scenario.js';
