/** Calls to the platform stand-in that prepare a fleet. */
import { request } from 'undici';
import type { BackendServer, FleetConfig } from '@kingcupsill/core';
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

/** Changes the configuration document against its version; returns the new version. Throws when another change came between. */
export async function changeConfig(
  platform: FleetProcess,
  change: (config: FleetConfig) => FleetConfig,
): Promise<number> {
  const url = `${platform.url}/v1/objects/config/current`;
  const current = await request(url);
  const config = change((await current.body.json()) as FleetConfig);
  const version = config.version + 1;
  const res = await request(url, {
    method: 'PUT',
    headers: { 'content-type': 'application/json', 'if-match': String(current.headers.etag) },
    body: JSON.stringify({ ...config, version }),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`config change: ${res.statusCode} ${text}`);
  return version;
}

/** Changes fields of one backend server in the configuration. */
export async function patchBackend(
  platform: FleetProcess,
  id: string,
  fields: Partial<BackendServer>,
): Promise<number> {
  return changeConfig(platform, (config) => {
    const backend = { ...(config.backends[id] as BackendServer), ...fields };
    return { ...config, backends: { ...config.backends, [id]: backend } };
  });
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
