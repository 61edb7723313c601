/* eslint-disable no-await-in-loop, no-restricted-syntax, n/no-process-exit -- off for .ts files too */
/** Frame of a case: the record, the exit code, and the end of all that was started. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const MAX_MS = 110_000;

/**
 * Runs a case. `play({ trouble, note, onEnd })` returns the violations of the rule, a line each, or throws if the case couldn't run.
 */
export async function runCase(folder, play) {
  const startedMs = performance.now();
  const lines = [];
  const ends = [];
  const trouble = process.env.TROUBLE !== '0';
  const note = (line) =>
    lines.push(`${((performance.now() - startedMs) / 1000).toFixed(3).padStart(8)} s  ${line}`);
  const onEnd = (end) => ends.push(end);
  let exitCode;
  note(trouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  const limit = new Promise((_resolve, reject) => {
    setTimeout(() => reject(new Error('the case took too long')), MAX_MS).unref();
    ['SIGTERM', 'SIGINT'].forEach((signal) =>
      process.once(signal, () => reject(new Error(`stopped by ${signal}`))),
    );
  });
  try {
    const violations = await Promise.race([play({ trouble, note, onEnd }), limit]);
    violations.forEach((violation) => note(`VIOLATION ${violation}`));
    exitCode = violations.length > 0 ? BROKEN : HELD;
    note(violations.length > 0 ? 'the rule was broken' : 'the rule held');
  } catch (err) {
    note(`the case couldn't run: ${err.message}`);
    exitCode = NOT_RUN;
  }
  for (const end of ends.reverse()) await end();
  await writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.slice(-12).join('\n')}\n`);
  process.exit(exitCode);
}

/** Throws if a condition that the case needs isn't met. */
export function need(condition, text) {
  if (!condition) throw new Error(text);
}
