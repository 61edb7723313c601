/** Calls to the platform stand-in that prepare a fleet. */
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

/** Writes the configuration document. */
export async function writeConfig(platform: FleetProcess, config: FleetConfig): Promise<void> {
  await putJson(`${platform.url}/v1/objects/config/current`, config);
}

/** Puts a router on the instance list. */
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

/** Changes the configuration by a merge patch against its newest version; returns the new version. */
export async function patchConfig(platform: FleetProcess, patch: unknown): Promise<number> {
  const store = createConfigStore({ objects: createObjectClient({ url: platform.url }) });
  const loaded = await store.load();
  if (!loaded.ok) throw new Error(`configuration not read: ${loaded.code}`);
  const outcome = await store.commit({
    id: randomUUID(),
    baseVersion: loaded.config.version,
    patch,
    reason: 'bench',
    operatorKey: OPERATOR_KEY,
  });
  if (!outcome.ok) throw new Error(`patch not accepted: ${outcome.code}`);
  return outcome.config.version;
}

/** A fault of the platform stand-in. */
export interface PlatformFault {
  kind: 'outage' | 'slow' | 'lose-answers';
  durationMs: number;
  delayMs?: number;
  probability?: number;
}

/** Starts a fault of the platform stand-in. */
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
  if (res.statusCode >= 300) throw new Error(`fault ${fault.kind}: ${res.statusCode} ${text}`);
}
