/* eslint-disable import-x/extensions, no-await-in-loop -- off for .ts files too */
/** One engine spoils a small part of its answers: the head of an answer has a line that is no header. Do the machines live on? */
import { dirname } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { call, keepConnection } from '../lib/client.mjs';
import { need, runCase } from '../lib/case.mjs';
import { appService, configuration, HOST, KEY, lookRoute } from '../lib/configuration.mjs';
import { deploy } from '../lib/deployment.mjs';

/** Share and length of the disruption; claim.txt names where they stand. */
const SPOILT_SHARE = 0.02;
const TROUBLE_MS = 5000;
const CALM_MS = 5000;
const ROUNDS = 6;
const CLIENTS_PER_MACHINE = 6;
const MAX_LOST = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ trouble, note, onEnd }) => {
  const phase = { disturbed: false };
  const spoilt = new Map();
  let answered = 0;

  const behaviour = ({ req, res, startRun, answerWhole }) => {
    const run = startRun(req);
    setTimeout(() => {
      if (phase.disturbed) answered += 1;
      if (!phase.disturbed || answered % (1 / SPOILT_SHARE) !== 0) {
        answerWhole(res, run);
        return;
      }
      spoilt.set(run.attemptId, run);
      note(`engine ${run.engine} spoils its answer to ${run.attemptId}`);
      const body = JSON.stringify({ ran: run.attemptId });
      const lines = [
        'HTTP/1.1 200 OK',
        `Attempt-Id: ${run.attemptId}`,
        'q8 7f1: 0c',
        `Response-Signature: ${run.engine}.${run.attemptId}`,
        `Content-Length: ${body.length}`,
      ];
      res.socket?.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
    }, 100);
    return true;
  };
  const { engines, platform } = await deploy({
    note,
    onEnd,
    config: configuration(7, { routes: [lookRoute('shop')], services: [appService('shop')] }),
    engines: [1, 2, 3].map((n) => ({
      id: `i-shop-${n}`,
      service: 'shop',
      slots: 6,
      workMs: 100,
      behaviour: n === 1 ? behaviour : undefined,
    })),
  });

  let ended = false;
  const answers = [];
  const clients = platform.machines.flatMap((machine) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, async () => {
      const agent = keepConnection();
      const options = { host: HOST, path: '/look/1', key: KEY, deadlineMs: 1200 };
      while (!ended) {
        answers.push(await call(machine, { ...options, agent }));
        await delay(100);
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
  await delay(CALM_MS);
  ended = true;
  await Promise.all(clients);

  const runs = new Map();
  engines.forEach((engine) =>
    engine.runs.forEach((run) =>
      runs.set(run.attemptId, [...(runs.get(run.attemptId) ?? []), run]),
    ),
  );
  const lost = answers.filter(
    ({ status, attemptId }) =>
      status === undefined && runs.has(attemptId) && !spoilt.has(attemptId),
  );
  const count = (status) => answers.filter((answer) => answer.status === status).length;
  note(
    `${answers.length} requests: ${count(200)} got 200, ${count(502)} got 502, ${count(503)} 503`,
  );
  note(`the engine spoilt ${spoilt.size} of its ${answered} answers in the disruption`);
  lost.forEach(({ attemptId, machine, reason }) =>
    note(
      `${attemptId}: run by ${runs.get(attemptId)[0].engine}, then ${machine} closed (${reason})`,
    ),
  );
  const ends = platform.machines.map(({ name, ownEnds }) => [name, ownEnds.length]);
  note(`processes that ended by themselves: ${JSON.stringify(ends)}`);
  need(answers.length > 1000, 'too few requests');
  const violations = [];
  if (lost.length > MAX_LOST)
    violations.push(
      `LOST: ${lost.length} requests of kept connections, whose answers weren't spoilt, were closed without an answer while an engine ran them`,
    );
  const repeated = ends.filter(([, times]) => times >= 3);
  if (repeated.length >= 2)
    violations.push(`Fault: processes of ${repeated.length} machines ended three times`);
  return violations;
});
