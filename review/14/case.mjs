/* eslint-disable import-x/extensions, no-restricted-syntax, no-await-in-loop -- a plain script that runs without a build */
/** RECOVER: with more than 24 MB of other writers' entries among those of the engines, no router gets ready after its start. */
import { call } from '../lib-3/client.mjs';
import { countOutcomes, hasTrouble, runCase, waitForRouters } from '../lib-3/case.mjs';
import { createConfig, HOST_NAME, KEY } from '../lib-3/config.mjs';
import { startEngine } from '../lib-3/engine.mjs';
import { delay } from '../lib-3/net.mjs';
import { createRouter } from '../lib-3/router.mjs';
import { startStore, VALUE_BYTES } from '../lib-3/store.mjs';

const ZONES = ['kgn-a', 'mbj-a', 'mdv-a'];
const ENTRIES = 25;
const TEXT_BYTES = 1_040_000;
const WRITE_PERIOD_MS = 300;
const REQUEST_PERIOD_MS = 25;
const DOWN_MS = 1000;
const RECOVERY_MS = 12_000;
const JUDGED_MS = 6000;

function servedShare(calls) {
  return calls.filter(({ status }) => status === 200).length / calls.length;
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

  const calls = [];
  let isSending = true;
  async function sendAll() {
    for (let count = 0; isSending; count += 1) {
      const { frontend } = routers[count % routers.length];
      const options = { host: HOST_NAME, path: '/look/2f', method: 'GET', key: KEY };
      calls.push(call(frontend, { ...options, deadlineMs: 1200 }));
      await delay(REQUEST_PERIOD_MS);
    }
  }
  const sending = sendAll();
  await delay(3000);
  for (let number = 0; hasTrouble && number < ENTRIES; number += 1) {
    const spec = {
      service: 'inventory',
      owner: 'asset-scan',
      number,
      text: 'x'.repeat(TEXT_BYTES),
    };
    store.put('servers', `inventory-${number}`, spec);
    await delay(WRITE_PERIOD_MS);
  }
  if (hasTrouble)
    say(
      `${ENTRIES} entries of another writer, with ${TEXT_BYTES} bytes of text each, of at most ${VALUE_BYTES}`,
    );
  await delay(2000);
  const killedAtMs = Date.now();
  routers.forEach((router) => router.signal('SIGKILL'));
  await Promise.all(routers.map((router) => router.ended()));
  await delay(DOWN_MS);
  routers.forEach((router) => router.start());
  const backAtMs = Date.now();
  say('all processes were killed and are started again');
  await delay(RECOVERY_MS + JUDGED_MS);
  const ready = await Promise.all(routers.map((router) => router.isReady()));
  isSending = false;
  await sending;
  const results = await Promise.all(calls);
  const before = results.filter(({ sentAtMs }) => sentAtMs < killedAtMs - 100);
  const after = results.filter(({ sentAtMs }) => sentAtMs > backAtMs + RECOVERY_MS);
  say(`before the fault: ${countOutcomes(before)}`);
  say(
    `sent later than ${RECOVERY_MS} ms after the start: ${countOutcomes(after)}; ready: ${ready}`,
  );
  say(`ends since the start: ${routers.map(({ exits }) => exits.length - 1)}`);
  const isBroken = servedShare(before) >= 0.25 && servedShare(after) < 0.25;
  return isBroken
    ? [`${servedShare(after)} of the requests served, ${servedShare(before)} before`]
    : [];
});
