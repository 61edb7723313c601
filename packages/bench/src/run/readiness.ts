/** Waits until a fleet serves. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { Fleet, FleetProcess } from '../fleet/index.js';
import { parseMetrics, sumMetric } from '../measure/index.js';

const READY_TIMEOUT_MS = 30_000;
const POLL_PERIOD_MS = 50;
const LINKED_SIDECARS = 'kingcupsill_sidecars_linked';

async function linkedSidecars(router: FleetProcess): Promise<number> {
  const res = await request(`${router.adminUrl}/metrics`);
  return sumMetric(parseMetrics(await res.body.text()), LINKED_SIDECARS);
}

async function isReady(node: FleetProcess): Promise<boolean> {
  const res = await request(`${node.adminUrl}/readyz`);
  await res.body.dump();
  return res.statusCode === 200;
}

/** Resolves once a node reports itself ready; rejects after 30 s. */
export async function waitUntilReady(node: FleetProcess): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await isReady(node))) {
    if (performance.now() > endMs) throw new Error(`${node.name} did not become ready`);
    await sleep(POLL_PERIOD_MS);
  }
}

async function isServing(fleet: Fleet, linksPerRouter: number): Promise<boolean> {
  const ready = await Promise.all([...fleet.routers, ...fleet.sidecars].map(isReady));
  if (!ready.every(Boolean)) return false;
  const links = await Promise.all(fleet.routers.map(linkedSidecars));
  return links.every((count) => count >= linksPerRouter);
}

/** Resolves once every node is ready and each router has the links asked for; rejects after 30 s. */
export async function waitUntilServing(fleet: Fleet, linksPerRouter: number): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await isServing(fleet, linksPerRouter))) {
    if (performance.now() > endMs) {
      throw new Error(`the fleet did not serve within ${READY_TIMEOUT_MS} ms`);
    }
    await sleep(POLL_PERIOD_MS);
  }
}
