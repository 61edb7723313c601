/** `npm run soak -- --seed N --minutes M`: exits with 0 only if every promise held, and prints the verdict on the last line. */
import { parseArgs } from 'node:util';
import { runSoak } from './run-soak.js';

const DEFAULT_MINUTES = 1;
const MS_PER_MINUTE = 60_000;
/** Maximum number of breaches listed; the verdict counts all of them. */
const MAX_PRINTED_BREACHES = 20;

const { values } = parseArgs({
  options: { seed: { type: 'string' }, minutes: { type: 'string' }, faults: { type: 'boolean' } },
});
const seed = Number(values.seed ?? Date.now() % 1_000_000);
const minutes = Number(values.minutes ?? DEFAULT_MINUTES);
if (!Number.isInteger(seed) || !(minutes > 0)) {
  process.stderr.write('soak: --seed must be a whole number, --minutes above 0\n');
  process.exit(2);
}
const { requests, served, faults, breaches, dir } = await runSoak({
  seed,
  durationMs: minutes * MS_PER_MINUTE,
  onFault: ({ atMs, kind, durationMs }) => {
    if (values.faults) {
      process.stdout.write(`${Math.round(atMs)} ms: ${kind} for ${Math.round(durationMs)} ms\n`);
    }
  },
});
breaches.slice(0, MAX_PRINTED_BREACHES).forEach(({ promise, detail }) => {
  process.stdout.write(`broken: ${promise}: ${detail}\n`);
});
if (breaches.length > 0) process.stdout.write(`logs: ${dir}\n`);
const verdict = breaches.length === 0 ? 'every promise held' : `${breaches.length} breaches`;
process.stdout.write(
  `soak: seed ${seed}, ${minutes} min, ${requests} requests, ${served} served, ${faults} faults: ${verdict}\n`,
);
process.exit(breaches.length === 0 ? 0 : 1);
