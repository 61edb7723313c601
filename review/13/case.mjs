/* eslint-disable import-x/extensions, no-restricted-syntax, no-await-in-loop -- a plain script that runs without a build */
/** Fault: a router keeps the head of the last request of each open connection, and ends when its heap is used up by them. */
import { countOutcomes, hasTrouble, runCase, waitForRouters } from '../lib-3/case.mjs';
import { createConfig, HOST_NAME, KEY } from '../lib-3/config.mjs';
import { startEngine } from '../lib-3/engine.mjs';
import { createKeptClient } from '../lib-3/kept.mjs';
import { delay } from '../lib-3/net.mjs';
import { createRouter } from '../lib-3/router.mjs';
import { startStore } from '../lib-3/store.mjs';

const ZONES = ['kgn-a', 'mbj-a', 'mdv-a'];
const ROUTER_ZONES = ['kgn-a', 'kgn-a', 'mbj-a', 'mdv-a'];
/** 100 requests a second in all; the deployment's sheet has 102.9. */
const REQUEST_PERIOD_MS = 10;
const WORK_MS = 43;
/** Time to the first event, and between events. */
const FIRST_EVENT_MS = 450;
const EVENT_MS = 50;
/** Requests of the deployment's sheet, with their shares of the traffic, bodies, tokens and events. */
const KINDS = [
  { share: 0.264, path: '/review/2f', bodyBytes: 17_000, tokens: 3720, events: 40 },
  { share: 0.199, path: '/review/2f', bodyBytes: 9200, tokens: 2890, events: 17 },
  { share: 0.393, path: '/review/2f', bodyBytes: 1500, tokens: 1110, events: 57 },
  { share: 0.089, path: '/log/2f', bodyBytes: 600 },
  { share: 0.055, path: '/look/2f', method: 'GET', bodyBytes: 0 },
];
/** Size of a request's head, within `maxHeaderBytes`. */
const HEAD_BYTES = 16_300;
const LOSS_AT_MS = 10_000;
const LOST_MACHINES = 2;
const MIN_ENDS = 3;
const WATCH_MS = 82_000;
const RESTART_DELAY_MS = 1000;

function deadlineOf({ tokens }) {
  return tokens === undefined ? 1200 : 12_000;
}

/** Returns the bytes of a request whose head is as large as `HEAD_BYTES`: its caller passes on many short values. */
function createRequest({ path, method = 'POST', bodyBytes, tokens, events }, number, attemptId) {
  const prompt = [
    'Model: m',
    `Token-Usage: ${tokens},${events}`,
    `Prefix-Hash: 5c1e07a2:${tokens - 100},${(number + 4096).toString(16)}:100`,
  ];
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST_NAME}`,
    `Attempt-Id: ${attemptId}`,
    `Deadline-Ms: ${deadlineOf({ tokens })}`,
    `Credential: ${KEY}`,
    ...(tokens === undefined ? [] : prompt),
    ...(bodyBytes > 0 ? [`Content-Length: ${bodyBytes}`] : []),
  ];
  let head = `${lines.join('\r\n')}\r\n`;
  for (let count = 0; head.length < HEAD_BYTES; count += 1) head += `t-${count}: 9c41d07b\r\n`;
  return `${head}\r\n${'x'.repeat(bodyBytes)}`;
}

function pickKind(number) {
  let rest = ((number * 0.618) % 1) - KINDS[0].share;
  let index = 0;
  while (rest >= 0 && index < KINDS.length - 1) {
    index += 1;
    rest -= KINDS[index].share;
  }
  return KINDS[index];
}

/** Sends the events that the request asks for. */
async function sendEvents(req, res, { signature }) {
  const events = Number(req.headers['token-usage'].split(',')[1]);
  await delay(FIRST_EVENT_MS);
  if (res.destroyed) return;
  res.writeHead(200, { ...signature(req), 'Content-Type': 'text/event-stream' });
  for (let id = 1; id <= events && !res.destroyed; id += 1) {
    res.write(`id: ${id}\ndata: abcdefghijklmnopqrstuvwxyz\n\n`);
    await delay(EVENT_MS);
  }
  res.end();
}

await runCase(import.meta.url, async ({ say, own }) => {
  const store = own(await startStore());
  store.put('config', 'main', createConfig());
  const runIds = new Set();
  const onRun = ({ attemptId }) => runIds.add(attemptId);
  for (const zone of ZONES)
    own(
      await startEngine({
        id: `i-${zone}`,
        service: 'shop',
        zone,
        slots: 6,
        store,
        workMs: WORK_MS,
        onRun,
      }),
    );
  for (let number = 0; number < 8; number += 1)
    own(
      await startEngine({
        id: `m-${number}`,
        service: 'models',
        zone: ZONES[number % ZONES.length],
        store,
        run: sendEvents,
        onRun,
      }),
    );
  const routers = [];
  for (const [index, zone] of ROUTER_ZONES.entries())
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

  say(`heads of ${createRequest(KINDS[0], 0, 'r00000000').indexOf('\r\n\r\n') + 4} bytes at most`);
  let isOpen = true;
  let inRotation = routers;
  const calls = [];

  /** Sends a request on a new connection, which stays open until the router closes it. */
  async function sendOne(number) {
    const kind = pickKind(number);
    const { frontend } = inRotation[number % inRotation.length];
    const attemptId = `r${String(number).padStart(8, '0')}`;
    const client = createKeptClient();
    const bytes = createRequest(kind, number, attemptId);
    calls.push(await client.send(frontend, attemptId, bytes, deadlineOf(kind)));
  }

  async function sendAll() {
    const startedAtMs = Date.now();
    for (let number = 0; isOpen; number += 1) {
      sendOne(number);
      await delay(Math.max(0, startedAtMs + (number + 1) * REQUEST_PERIOD_MS - Date.now()));
    }
  }

  /** Starts a router again that has ended by itself, as the platform does. */
  async function supervise(router) {
    while (isOpen) {
      await delay(100);
      if (!router.isRunning() && inRotation.includes(router)) {
        const { code, signal } = router.exits.at(-1);
        say(`${router.name} has ended by itself: code ${code}, signal ${signal}`);
        await delay(RESTART_DELAY_MS);
        if (isOpen) router.start();
      }
    }
  }

  const startedAtMs = Date.now();
  const sending = Promise.all([sendAll(), ...routers.map(supervise)]);
  await delay(LOSS_AT_MS);
  const lost = routers.slice(0, LOST_MACHINES);
  const survivors = routers.slice(LOST_MACHINES);
  if (hasTrouble) {
    inRotation = survivors;
    lost.forEach((router) => router.signal('SIGKILL'));
    say(`${lost.length} of ${routers.length} machines are lost`);
  }
  const hasBroken = () => survivors.every(({ exits }) => exits.length >= MIN_ENDS);
  const endMs = Date.now() + WATCH_MS;
  while (Date.now() < endMs && !hasBroken()) await delay(100);
  isOpen = false;
  await sending;
  const lossAtMs = startedAtMs + LOSS_AT_MS;
  const before = calls.filter(({ sentAtMs }) => sentAtMs < lossAtMs);
  const after = calls.filter(({ sentAtMs }) => sentAtMs >= lossAtMs);
  say(`answered before the loss: ${countOutcomes(before)}; since then: ${countOutcomes(after)}`);
  const cut = after.filter(
    ({ attemptId, error }) => error !== undefined && error !== 'deadline' && runIds.has(attemptId),
  );
  say(`cut though an engine had begun: ${cut.length}`);
  const ends = survivors.map(({ name, exits }) => `${name} ${exits.length}`);
  say(`ends by themselves: ${ends.join(', ')}`);
  return hasBroken() ? [`processes ended by themselves: ${ends.join(', ')}`] : [];
});
