/* eslint-disable n/no-process-exit -- a plain script that runs without a build */
/** Frame of a case: its record, its time limit, the end of what it started, and its exit code. */
import { writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const EXIT = { held: 0, broken: 1, notRun: 2 };
const MAX_MS = 110_000;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case and exits.
 * @param url `import.meta.url` of the case, beside which `record.txt` is written
 * @param run gets `say`, which adds a line to the record, and `own`, which registers what has to be closed; returns the breaches as
 * lines, or undefined if the case couldn't run
 */
export async function runCase(url, run) {
  const lines = [];
  const owned = [];
  const startedAtMs = Date.now();
  const say = (text) => {
    const line = `${String(Date.now() - startedAtMs).padStart(6)} ms  ${text}`;
    lines.push(line);
    process.stdout.write(`${line}\n`);
  };
  const own = (thing) => {
    owned.push(thing);
    return thing;
  };
  let breaches;
  const limit = new Promise((resolve) => {
    setTimeout(resolve, MAX_MS).unref();
  });
  try {
    breaches = await Promise.race([run({ say, own }), limit]);
  } catch (err) {
    say(`not run: ${err.stack}`);
  }
  await Promise.all(owned.map((thing) => thing.close()));
  if (breaches === undefined) say('result: the case could not run');
  else if (breaches.length === 0) say('result: the rule held');
  else say(`result: the rule was broken: ${breaches.join('; ')}`);
  await writeFile(join(dirname(fileURLToPath(url)), 'record.txt'), `${lines.join('\n')}\n`);
  if (breaches === undefined) process.exit(EXIT.notRun);
  process.exit(breaches.length === 0 ? EXIT.held : EXIT.broken);
}

/** Counts calls by what their clients saw. */
export function countOutcomes(calls) {
  const counts = {};
  calls.forEach(({ status, complete, error }) => {
    const key = status === undefined ? error : `${status}${complete ? '' : ' cut'}`;
    counts[key] = (counts[key] ?? 0) + 1;
  });
  return JSON.stringify(counts);
}

/** Waits until all routers are ready. Returns whether they are; otherwise the record gets the output of those that aren't. */
export async function waitForRouters(routers, say) {
  const ready = await Promise.all(routers.map((router) => router.waitUntilReady()));
  say(`routers ready: ${ready}`);
  routers.forEach(({ name, exits, output }, index) => {
    if (!ready[index]) say(`${name}, ends ${JSON.stringify(exits)}: ${output()}`);
  });
  return !ready.includes(false);
}
