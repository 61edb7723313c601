/** `npm run soak -- --seed N --minutes M`: exits with 0 only if every promise held, and prints the verdict on the last line. */
import { parseArgs } from 'node:util';
import { FAULT_KINDS } from './faults.js';
import { ExitCode, formatReport, judge } from './report.js';
import { DEFAULTS, runSoak } from './run-soak.js';

const DEFAULT_MINUTES = 1;
const MS_PER_MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    seed: { type: 'string' },
    minutes: { type: 'string' },
    faults: { type: 'boolean' },
    /** Kinds of faults, or the beginnings of their names. */
    only: { type: 'string', multiple: true },
    /** NAME=NUMBER for a name in `DEFAULTS`. */
    set: { type: 'string', multiple: true },
  },
});
const seed = Number(values.seed ?? Date.now() % 1_000_000);
const minutes = Number(values.minutes ?? DEFAULT_MINUTES);
const settings = (values.set ?? []).map((text) => text.split('=') as [string, string]);
const faultKinds = FAULT_KINDS.filter(
  (kind) => values.only?.some((name) => kind.startsWith(name)) ?? true,
);
const isValid =
  Number.isInteger(seed) &&
  minutes > 0 &&
  settings.every(([name, value]) => name in DEFAULTS && Number(value) >= 0) &&
  faultKinds.length > 0;
if (!isValid) {
  process.stderr.write('soak: unknown name, or a number out of range\n');
  process.exit(ExitCode.Usage);
}
const result = await runSoak({
  ...Object.fromEntries(settings.map(([name, value]) => [name, Number(value)])),
  seed,
  durationMs: minutes * MS_PER_MINUTE,
  faultKinds,
  onFault: ({ atMs, kind, durationMs }) => {
    if (values.faults) {
      process.stdout.write(`${Math.round(atMs)} ms: ${kind} for ${Math.round(durationMs)} ms\n`);
    }
  },
});
const { requests, served, faults, breaches, dir } = result;
const { text, exitCode } = judge(result);
formatReport(result).forEach((line) => process.stdout.write(`${line}\n`));
if (breaches.length > 0) process.stdout.write(`logs: ${dir}\n`);
process.stdout.write(
  `soak: seed ${seed}, ${minutes} min, ${requests} requests, ${served} served, ${faults} faults: ${text}\n`,
);
process.exit(exitCode);
