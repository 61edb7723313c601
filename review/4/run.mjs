/* eslint-disable import-x/extensions, no-await-in-loop -- off for .ts files too */
/** Engines that shed part of their requests also send some answers twice, the second time late. What does a 503 promise then? */
import { dirname } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { call, keepConnection } from '../lib/client.mjs';
import { need, runCase } from '../lib/case.mjs';
import { appService, configuration, HOST, KEY, logRoute } from '../lib/configuration.mjs';
import { deploy } from '../lib/deployment.mjs';

/** Shares and lengths of the disruptions; claim.txt names where they stand. */
const SHED_SHARE = 0.2;
const EXTRA_SHARE = 0.03;
const TROUBLE_MS = 4000;
const CALM_MS = 1000;
const ROUNDS = 15;
const CLIENTS_PER_MACHINE = 8;
const PAUSE_MS = 15;

/** Pseudo-random numbers in (0, 1), the same in each run (Park and Miller). */
function createRandom(seed) {
  let state = seed;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ trouble, note, onEnd }) => {
  const phase = { disturbed: false };
  const extras = [];
  const rejected = [];

  function createBehaviour(random, { isFaulty, workMs }) {
    /** Second answers that are still to come, by connection. */
    const late = new WeakMap();
    return ({ req, res, startRun }) => {
      const { socket } = req;
      const attemptId = req.headers['attempt-id'];
      req.resume();
      req.on('end', () => {
        const extra = late.get(socket);
        if (extra !== undefined) {
          late.delete(socket);
          extras.push({ ...extra, before: attemptId });
          socket.write(extra.bytes);
        }
        const isShed = phase.disturbed && random() < SHED_SHARE;
        const isTwice = phase.disturbed && random() < EXTRA_SHARE && isFaulty;
        const run = isShed ? undefined : startRun(req);
        if (isShed) rejected.push(attemptId);
        const body = isShed ? '' : JSON.stringify({ ran: attemptId });
        const head = isShed
          ? ['HTTP/1.1 503 Service Unavailable', 'Not-Executed: 1']
          : ['HTTP/1.1 200 OK', `Response-Signature: ${run.engine}.${attemptId}`];
        const lines = [...head, `Attempt-Id: ${attemptId}`, `Content-Length: ${body.length}`];
        const bytes = `${lines.join('\r\n')}\r\n\r\n${body}`;
        if (isTwice) late.set(socket, { attemptId, status: isShed ? 503 : 200, bytes });
        setTimeout(
          () => {
            const [, status] = lines[0].split(' ');
            const headers = Object.fromEntries(lines.slice(1).map((line) => line.split(': ')));
            res.writeHead(Number(status), headers);
            res.end(body);
          },
          isShed ? 1 : workMs,
        );
      });
      return true;
    };
  }

  const { engines, platform } = await deploy({
    note,
    onEnd,
    config: configuration(7, { routes: [logRoute('shop')], services: [appService('shop')] }),
    engines: [1, 2].map((n) => ({
      id: `i-shop-${n}`,
      service: 'shop',
      slots: 24,
      // Only the first one, which is the faster, sends answers twice.
      behaviour: createBehaviour(createRandom(n * 7919), {
        isFaulty: n === 1,
        workMs: n === 1 ? 10 : 50,
      }),
    })),
  });

  let ended = false;
  const answers = [];
  const clients = platform.machines.flatMap((machine) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, async () => {
      const agent = keepConnection();
      const options = { method: 'POST', host: HOST, path: '/log/1', key: KEY, deadlineMs: 1200 };
      while (!ended) {
        answers.push(await call(machine, { ...options, body: Buffer.alloc(600, 'x'), agent }));
        await delay(PAUSE_MS);
      }
      agent.destroy();
    }),
  );
  for (let round = 0; round < ROUNDS; round += 1) {
    await delay(CALM_MS);
    phase.disturbed = trouble;
    await delay(TROUBLE_MS);
    phase.disturbed = false;
  }
  ended = true;
  await Promise.all(clients);

  const runs = engines.flatMap((engine) => engine.runs);
  const byId = new Map(runs.map((run) => [run.attemptId, run]));
  const count = (status) => answers.filter((answer) => answer.status === status).length;
  note(
    `${answers.length} requests: ${count(200)} got 200, ${count(503)} got 503, ${count(502)} got 502`,
  );
  note(
    `engines shed ${rejected.length} arrivals and sent ${extras.length} answers a second time, late`,
  );
  need(answers.length > 1000, 'too few requests');
  const broken = answers.filter((answer) => answer.status === 503 && byId.has(answer.attemptId));
  broken.forEach((answer) => {
    const extra = extras.find(({ before }) => before === answer.attemptId);
    note(
      `${answer.attemptId}: ${answer.machine} answers 503 ${answer.body}; ${byId.get(answer.attemptId).engine} ran it; before its answer came a second ${extra?.status} for ${extra?.attemptId}`,
    );
  });
  return broken.map(
    ({ attemptId }) =>
      `REFUSED: ${attemptId}, which isn't idempotent, was answered 503 and has run`,
  );
});
