/** Measures how long a configuration change takes to apply on each node of an idle fleet. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { patchConfig } from '../fleet/index.js';
import type { Fleet, FleetProcess } from '../fleet/index.js';
import { measurePercentiles } from '../measure/index.js';
import type { RunSummary } from './types.js';

const CHANGE_COUNT = 5;
const BASE_MAX_QUEUED = 1000;
const POLL_PERIOD_MS = 20;
const IN_FORCE_TIMEOUT_MS = 30_000;

async function fetchConfigVersion(node: FleetProcess): Promise<number> {
  const res = await request(`${node.adminUrl}/debug/state`);
  const { status } = (await res.body.json()) as { status: { version: number } };
  return status.version;
}

/** Returns the time in ms until a node applies a version, or about `IN_FORCE_TIMEOUT_MS` if it never does. */
async function waitForVersion(node: FleetProcess, version: number): Promise<number> {
  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  while ((await fetchConfigVersion(node)) < version && elapsedMs() < IN_FORCE_TIMEOUT_MS) {
    await sleep(POLL_PERIOD_MS);
  }
  return elapsedMs();
}

/** Changes the configuration `CHANGE_COUNT` times and measures the time until each node applies each change. */
export async function measureConfigPropagation(
  fleet: Fleet,
): Promise<RunSummary['configInForceMs']> {
  const nodes = [...fleet.routers, ...fleet.sidecars];
  const accountId = fleet.topology.accounts[0]?.id ?? '';
  const timesMs: number[] = [];
  for (let i = 0; i < CHANGE_COUNT; i++) {
    const patch = { accounts: { [accountId]: { maxQueued: BASE_MAX_QUEUED + i } } };
    const version = await patchConfig(fleet.platform, patch);
    timesMs.push(...(await Promise.all(nodes.map((node) => waitForVersion(node, version)))));
  }
  const { p50, max } = measurePercentiles(timesMs) ?? { p50: null, max: null };
  return { p50, max };
}
