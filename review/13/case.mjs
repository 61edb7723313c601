/* eslint-disable import-x/extensions, no-restricted-syntax, no-await-in-loop -- a plain script that runs without a build */
/** Fault: entries of another writer in the store use up the heap of each router that lists the engines. */
import { call } from '../lib-3/client.mjs';
import { countOutcomes, hasTrouble, runCase, waitForRouters } from '../lib-3/case.mjs';
import { createConfig, HOST_NAME, KEY } from '../lib-3/config.mjs';
import { startEngine } from '../lib-3/engine.mjs';
import { delay } from '../lib-3/net.mjs';
import { createRouter } from '../lib-3/router.mjs';
import { startStore, VALUE_BYTES } from '../lib-3/store.mjs';

const ZONES = ['kgn-a', 'mbj-a', 'mdv-a'];
const ENTRIES = 16;
const PAIRS = 130_000;
const REQUEST_PERIOD_MS = 50;
/** Time from the end of a process to its next start by the platform. */
const RESTART_DELAY_MS = 1000;
const MIN_ENDS = 3;
const WRITE_PERIOD_MS = 50;
const WATCH_MS = 45_000;

/** Entry without an address or a state, with a table of pairs in a field that engines give as a number. */
function createForeignEntry(number) {
  const slots = Array.from({ length: PAIRS }, (_none, index) => [index % 10, number % 10]);
  return { service: 'inventory', owner: 'asset-scan', part: number, slots };
}

await runCase(import.meta.url, async ({ say, own }) => {
  const store = own(await startStore());
  store.put('config', 'main', createConfig());
  for (const zone of ZONES)
    own(await startEngine({ id: `i-${zone}`, service: 'shop', zone, slots: 6, store }));
  const routers = [];
  for (const [index, zone] of ZONES.slice(0, 2).entries())
    routers.push(
      own(
        await createRouter({
          name: `edge-${zone}-${index + 1}`,
          storeAddress: store.address,
          fields: { zone },
        }),
      ),
    );
  if (!(await waitForRouters(routers, say))) return undefined;

  let isWatching = true;
  /** Starts a router again that has ended by itself, as the platform does. */
  async function superviseRouter(router) {
    while (isWatching) {
      await Promise.race([router.ended(), delay(200)]);
      if (isWatching && !router.isRunning()) {
        const { code, signal } = router.exits.at(-1);
        say(`${router.name} has ended by itself: code ${code}, signal ${signal}`);
        await delay(RESTART_DELAY_MS);
        if (isWatching) router.start();
      }
    }
  }
  const supervising = Promise.all(routers.map(superviseRouter));
  const calls = [];
  async function sendAll() {
    for (let count = 0; isWatching; count += 1) {
      const { frontend } = routers[count % routers.length];
      const options = { host: HOST_NAME, path: '/look/2f', method: 'GET', key: KEY };
      calls.push(call(frontend, { ...options, deadlineMs: 1200 }));
      await delay(REQUEST_PERIOD_MS);
    }
  }
  const sending = sendAll();
  await delay(3000);
  const writtenAtMs = Date.now();
  if (hasTrouble) {
    let bytes = 0;
    for (let number = 0; number < ENTRIES; number += 1) {
      const spec = createForeignEntry(number);
      bytes = JSON.stringify(spec).length;
      store.put('servers', `inventory-${number}`, spec);
      await delay(WRITE_PERIOD_MS);
    }
    say(`${ENTRIES} entries of another writer, ${bytes} bytes each of at most ${VALUE_BYTES}`);
  }
  const endMs = Date.now() + WATCH_MS;
  const hasBroken = () => routers.every(({ exits }) => exits.length >= MIN_ENDS);
  while (Date.now() < endMs && !hasBroken()) await delay(200);
  isWatching = false;
  await Promise.all([supervising, sending]);
  const results = await Promise.all(calls);
  const before = results.filter(({ sentAtMs }) => sentAtMs < writtenAtMs);
  const after = results.filter(({ sentAtMs }) => sentAtMs >= writtenAtMs);
  say(`clients saw before: ${countOutcomes(before)}; since then: ${countOutcomes(after)}`);
  const ends = routers.map(({ name, exits }) => `${name} ${exits.length}`);
  say(`ends by themselves: ${ends.join(', ')}`);
  return hasBroken() ? [`processes ended by themselves: ${ends.join(', ')}`] : [];
});
