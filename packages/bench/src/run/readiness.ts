/** Waits until nodes are ready and sidecars are linked. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { Fleet, FleetProcess } from '../fleet/index.js';
import { parseMetrics, sumMetric } from '../measure/index.js';

const READY_TIMEOUT_MS = 30_000;
const POLL_PERIOD_MS = 50;
const LINKED_SIDECARS_METRIC = 'kingcupsill_sidecars_linked';

async function fetchLinkedSidecarCount(router: FleetProcess): Promise<number> {
  const res = await request(`${router.adminUrl}/metrics`);
  return sumMetric(parseMetrics(await res.body.text()), LINKED_SIDECARS_METRIC);
}

async function isReady(node: FleetProcess): Promise<boolean> {
  const res = await request(`${node.adminUrl}/readyz`);
  await res.body.dump();
  return res.statusCode === 200;
}

/** Resolves once a node's `/readyz` returns 200; rejects after 30 s. */
export async function waitUntilReady(node: FleetProcess): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await isReady(node))) {
    if (performance.now() > deadlineMs) throw new Error(`${node.name} did not become ready`);
    await sleep(POLL_PERIOD_MS);
  }
}

async function isServing(fleet: Fleet, minLinksPerRouter: number): Promise<boolean> {
  const ready = await Promise.all([...fleet.routers, ...fleet.sidecars].map(isReady));
  if (!ready.every(Boolean)) return false;
  const linkCounts = await Promise.all(fleet.routers.map(fetchLinkedSidecarCount));
  return linkCounts.every((count) => count >= minLinksPerRouter);
}

/** Resolves once every node is ready and each router has at least the given number of linked sidecars; rejects after 30 s. */
export async function waitUntilServing(fleet: Fleet, minLinksPerRouter: number): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await isServing(fleet, minLinksPerRouter))) {
    if (performance.now() > deadlineMs) {
      throw new Error(`the fleet did not become ready within ${READY_TIMEOUT_MS} ms`);
    }
    await sleep(POLL_PERIOD_MS);
  }
}
