/* eslint-disable import-x/extensions, no-await-in-loop -- off for .ts files too */
/** An entry from another writer, whose address isn't one, lies among the engines' entries for three heartbeats. */
import { dirname } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { call, keepConnection } from '../lib/client.mjs';
import { runCase } from '../lib/case.mjs';
import {
  appService,
  configuration,
  HOST,
  KEY,
  logRoute,
  modelService,
  reviewRoute,
} from '../lib/configuration.mjs';
import { deploy } from '../lib/deployment.mjs';

const HEARTBEATS_MS = 3 * 1200;
const LOAD_BEFORE_MS = 3000;
const LOAD_AFTER_MS = 10_000;
const CLIENTS_PER_MACHINE = 6;
const CYCLE_MS = 250;
/** Requests of the first client of each machine, and of the others. */
const STREAM = { path: '/review/1', deadlineMs: 12_000 };
const UNSAFE = { path: '/log/1', deadlineMs: 1200 };
/** RULES.md, LOST: "more than three times". */
const MAX_LOST = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ trouble, note, onEnd }) => {
  const { store, engines, platform } = await deploy({
    note,
    onEnd,
    config: configuration(7, {
      routes: [logRoute('shop'), reviewRoute('models')],
      services: [appService('shop'), modelService('models')],
    }),
    engines: [
      ...[1, 2, 3].map((n) => ({ id: `i-shop-${n}`, service: 'shop', slots: 6, workMs: 150 })),
      ...[1, 2].map((n) => ({ id: `i-model-${n}`, service: 'models', slots: 64, streaming: true })),
    ],
  });

  let ended = false;
  const answers = [];
  const clients = platform.machines.flatMap((machine) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, async (_none, index) => {
      const agent = keepConnection();
      const target = index === 0 ? STREAM : UNSAFE;
      // Spread over the time of one request and its pause, so that the clients don't send in step.
      await delay((index * CYCLE_MS) / CLIENTS_PER_MACHINE);
      while (!ended) {
        const options = { method: 'POST', host: HOST, key: KEY, ...target };
        const answer = await call(machine, { ...options, body: Buffer.alloc(600, 'x'), agent });
        answers.push(answer);
        await delay(answer.status === 200 ? 100 : 300);
      }
      agent.destroy();
    }),
  );
  await delay(LOAD_BEFORE_MS);
  if (trouble) {
    const entry = { ...engines[0].entry(6), service: 'models', address: '127.0.0.1:70000' };
    store.put('servers', 'i-0badc0de', entry);
    note(`another writer puts servers/i-0badc0de: ${JSON.stringify(entry)}`);
    await delay(HEARTBEATS_MS);
    store.remove('servers', 'i-0badc0de');
    note('the store removes servers/i-0badc0de after three heartbeats of silence');
  } else await delay(HEARTBEATS_MS);
  await delay(LOAD_AFTER_MS);
  ended = true;
  await Promise.all(clients);

  const runs = engines.flatMap(({ runs: own }) => own);
  const byId = new Map(runs.map((run) => [run.attemptId, run]));
  const lost = answers.filter(
    (answer) => answer.status === undefined && byId.has(answer.attemptId),
  );
  const ends = platform.machines.map(({ name, ownEnds }) => [name, ownEnds.length]);
  const statuses = {};
  answers.forEach(({ status, reason }) => {
    statuses[status ?? reason] = (statuses[status ?? reason] ?? 0) + 1;
  });
  note(`answers of ${answers.length} requests: ${JSON.stringify(statuses)}`);
  note(`processes that ended by themselves: ${JSON.stringify(ends)}`);
  lost.forEach(({ attemptId, machine, reason }) =>
    note(`${attemptId}: run by ${byId.get(attemptId).engine}, then ${machine} closed (${reason})`),
  );
  const violations = [];
  if (lost.length > MAX_LOST)
    violations.push(
      `LOST: ${lost.length} requests of kept connections were passed on to a sound engine and closed without an answer`,
    );
  const repeated = ends.filter(([, count]) => count >= 3);
  if (repeated.length >= 2)
    violations.push(
      `Fault: processes of ${repeated.length} machines ended by themselves three times`,
    );
  return violations;
});
