/** Calls to the platform stand-in that prepare a fleet. */
import { request } from 'undici';
import type { FleetConfig } from '@kingcupsill/core';
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
