/** HTTP calls to the platform stand-in: configuration, instance list and faults. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import type { FleetConfig } from '@kingcupsill/core';
import { createConfigStore, createObjectClient } from '@kingcupsill/platform';
import { OPERATOR_KEY } from './config-document.js';
import type { FleetProcess } from './types.js';

async function putJson(url: string, body: unknown): Promise<void> {
  const res = await request(url, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`PUT ${url}: ${res.statusCode} ${text}`);
}

/** Stores a configuration document as the current version. */
export async function writeConfig(platform: FleetProcess, config: FleetConfig): Promise<void> {
  await putJson(`${platform.url}/v1/objects/config/current`, config);
}

/** Adds a router to the instance list. */
export async function registerRouter(platform: FleetProcess, router: FleetProcess): Promise<void> {
  await putJson(`${platform.adminUrl}/admin/instances/${router.name}`, {
    id: router.name,
    role: 'router',
    zone: router.zone,
    region: router.region,
    state: 'live',
    address: `127.0.0.1:${router.ports.linkPort}`,
  });
}

/** Commits a merge patch against the newest configuration version and returns the new version. */
export async function patchConfig(platform: FleetProcess, patch: unknown): Promise<number> {
  const store = createConfigStore({ objects: createObjectClient({ url: platform.url }) });
  const loadResult = await store.load();
  if (!loadResult.ok) throw new Error(`failed to load the configuration: ${loadResult.code}`);
  const commitResult = await store.commit({
    id: randomUUID(),
    baseVersion: loadResult.config.version,
    patch,
    reason: 'bench',
    operatorKey: OPERATOR_KEY,
  });
  if (!commitResult.ok) throw new Error(`configuration patch rejected: ${commitResult.code}`);
  return commitResult.config.version;
}

/** Fault that the platform stand-in injects. */
export interface PlatformFault {
  kind: 'outage' | 'slow' | 'lose-answers';
  durationMs: number;
  delayMs?: number;
  probability?: number;
}

/** Injects a fault into the platform stand-in. */
export async function setPlatformFault(
  platform: FleetProcess,
  fault: PlatformFault,
): Promise<void> {
  const res = await request(`${platform.adminUrl}/admin/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(fault),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300)
    throw new Error(`failed to inject fault ${fault.kind}: ${res.statusCode} ${text}`);
}
