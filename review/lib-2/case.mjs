/* eslint-disable import-x/extensions, no-use-before-define, no-nested-ternary, n/no-process-exit -- a plain script that runs without a build */
/** Frame of a case: a temporary folder, the record, the exit status, and the end of all that was started. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { startRouter } from './router.mjs';
import { startStore } from './store.mjs';

export const ExitCode = { Held: 0, Broken: 1, NotRun: 2 };
/** False for the run without the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MAX_RUN_MS = 115_000;

/**
 * Runs a case. `run` gets the parts, and returns an object with `broken`, or `notRun` with the reason, and a `summary`. The record is
 * written to `record.txt` in the case's folder.
 */
export async function runCase(folder, run) {
  const startedMs = performance.now();
  const lines = [];
  const log = (text) => {
    const line = `${((performance.now() - startedMs) / 1000).toFixed(3)} s  ${text}`;
    lines.push(line);
  };
  const directory = await mkdtemp(`${tmpdir()}/review-`);
  const closers = [];
  const routers = [];
  const parts = {
    log,
    directory,
    /** Adds what is to be closed at the end. */
    add(part) {
      closers.push(part);
      return part;
    },
    async startStore() {
      return parts.add(await startStore());
    },
    async startRouter(options) {
      const router = await startRouter({ directory, ...options });
      routers.push(router);
      return router;
    },
  };
  const timer = setTimeout(() => finish({ notRun: 'time over' }), MAX_RUN_MS);
  let isFinished = false;

  async function finish({ broken = false, notRun, summary = '' }) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(timer);
    const verdict = notRun === undefined ? (broken ? 'BROKEN' : 'HELD') : `NOT RUN: ${notRun}`;
    log(`${verdict} ${summary}`);
    await Promise.all(routers.map((router) => (router.ended.done ? undefined : router.kill())));
    closers.forEach((part) => part.close());
    await writeFile(`${folder}/record.txt`, `${lines.join('\n')}\n`);
    process.stdout.write(`${verdict} ${summary}\n`);
    if (process.env.KEEP === undefined) await rm(directory, { recursive: true, force: true });
    else process.stdout.write(`logs: ${directory}\n`);
    const status = broken ? ExitCode.Broken : ExitCode.Held;
    process.exit(notRun === undefined ? status : ExitCode.NotRun);
  }

  try {
    await finish(await run(parts));
  } catch (err) {
    await finish({ notRun: err.stack });
  }
}
