/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax -- off for .ts files too */
/** A configuration is accepted while the store discards its history: which machines apply it? */
import { dirname } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { call } from '../lib/client.mjs';
import { need, runCase } from '../lib/case.mjs';
import {
  appService,
  configuration,
  HOST,
  logRoute,
  lookRoute,
  TENANT,
  ZONES,
} from '../lib/configuration.mjs';
import { deploy } from '../lib/deployment.mjs';
import { CONFIG_APPLY_MS, CONTACT_MS } from '../lib/platform.mjs';

const MACHINES_PER_ZONE = 3;
/** Time for which watches hear nothing; `fleetbench kinds` allows a second. */
const COMPACTION_MS = 500;
/** Time after the acknowledgement at which the requests are sent: far beyond both bounds. */
const WAIT_MS = CONTACT_MS + CONFIG_APPLY_MS + 6000;

function routeAll(version, service, apiKeys) {
  return configuration(version, {
    routes: [lookRoute(service), logRoute(service)],
    services: [appService('old'), appService('new')],
    tenants: [{ ...TENANT, apiKeys }],
  });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ trouble, note, onEnd }) => {
  const zones = Object.keys(ZONES);
  const { store, engines, platform } = await deploy({
    note,
    onEnd,
    config: routeAll(7, 'old', ['key-1', 'key-2']),
    engines: ['old', 'new'].map((service) => ({ id: `i-${service}`, service, slots: 24 })),
    machines: zones.flatMap((zone) =>
      Array.from({ length: MACHINES_PER_ZONE }, (_none, index) => [
        `edge-${zone}-${index + 1}`,
        zone,
      ]),
    ),
    onStoreCall({ kind, call: name, from, status }) {
      if (kind === 'config')
        note(`store: ${name} of config${from ? ` from ${from}` : ''}: ${status}`);
    },
  });
  // The machines find each other and settle.
  await delay(8000);

  const askAll = async (path, key) =>
    Promise.all(
      platform.machines.map((machine) =>
        call(machine, { host: HOST, path, key, deadlineMs: 1200 }),
      ),
    );
  const before = await askAll('/look/1', 'key-2');
  need(
    before.every(({ status }) => status === 200),
    'not all machines serve before the change',
  );

  const next = routeAll(12, 'new', ['key-1']);
  if (trouble) {
    note('the store starts to compact: watches hear nothing');
    store.startCompaction();
  }
  await delay(COMPACTION_MS / 2);
  store.put('config', 'main', next);
  const acknowledgedMs = performance.now();
  note('the store acknowledges version 12');
  note('version 12 moves all routes from service old to service new, and takes key-2 away');
  await delay(COMPACTION_MS / 2);
  if (trouble) {
    store.endCompaction();
    note('the history is dropped, and the waiting watches are cut');
  }
  await delay(WAIT_MS);

  const violations = [];
  const sentMs = Math.round(performance.now() - acknowledgedMs);
  for (const [path, key, allowed] of [
    ['/look/2', 'key-1', 'run by service new'],
    ['/look/3', 'key-2', 'refused with 401'],
  ]) {
    for (const answer of await askAll(path, key)) {
      const run = engines.flatMap(({ runs }) => runs).find((r) => r.attemptId === answer.attemptId);
      const text = `${answer.machine} ${sentMs} ms after the acknowledgement: ${path} with ${key} (version 12: ${allowed}) got ${answer.status}, run by service ${run?.service ?? 'none'}`;
      note(text);
      if (run?.service === 'old') violations.push(text);
    }
  }
  return violations;
});
