/** Measures how long a change of the configuration takes to be in force at every node of an idle fleet. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { patchConfig } from '../fleet/index.js';
import type { Fleet, FleetProcess } from '../fleet/index.js';
import { measurePercentiles } from '../measure/index.js';
import type { RunSummary } from './types.js';

const CHANGES = 5;
const LEAST_MAX_QUEUED = 1000;
const POLL_PERIOD_MS = 20;
const IN_FORCE_TIMEOUT_MS = 30_000;

async function versionInForce(node: FleetProcess): Promise<number> {
  const res = await request(`${node.adminUrl}/debug/state`);
  const { status } = (await res.body.json()) as { status: { version: number } };
  return status.version;
}

/** Time until the node has the version; the timeout when it never does. */
async function waitForVersion(node: FleetProcess, version: number): Promise<number> {
  const startMs = performance.now();
  const sinceStart = () => performance.now() - startMs;
  while ((await versionInForce(node)) < version && sinceStart() < IN_FORCE_TIMEOUT_MS) {
    await sleep(POLL_PERIOD_MS);
  }
  return sinceStart();
}

/** Changes the configuration a few times and waits for each change at each node. */
export async function measureConfigSpread(fleet: Fleet): Promise<RunSummary['configInForceMs']> {
  const nodes = [...fleet.routers, ...fleet.sidecars];
  const account = fleet.topology.accounts[0]?.id ?? '';
  const times: number[] = [];
  for (let i = 0; i < CHANGES; i++) {
    const patch = { accounts: { [account]: { maxQueued: LEAST_MAX_QUEUED + i } } };
    const version = await patchConfig(fleet.platform, patch);
    times.push(...(await Promise.all(nodes.map((node) => waitForVersion(node, version)))));
  }
  const { p50, max } = measurePercentiles(times) ?? { p50: null, max: null };
  return { p50, max };
}
