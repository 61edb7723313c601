/** Measures the service gap against policy, correction, exchange period and locality. Prints a table row per setting. */
import { createHasher } from '../../src/index.js';
import type { FleetOptions } from '../fairness/fleet-harness.js';
import { DEFAULT_FLEET, gapBoundMs, runFleet } from '../fairness/fleet-harness.js';
import { numericOptions } from './options.js';

const { seeds, seconds } = numericOptions({ seeds: 5, seconds: 60 });
const hasher = await createHasher();

function row(name: string, changes: Partial<FleetOptions>): void {
  const options = { ...DEFAULT_FLEET, ...changes, durationMs: seconds * 1000 };
  const results = Array.from({ length: seeds }, (_, seed) =>
    runFleet({ ...options, seed: seed + 1 }, hasher),
  );
  const gaps = results.map(({ gapMs }) => gapMs).sort((a, b) => a - b);
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
  const cells = [
    name,
    Math.round(mean(gaps)),
    gaps.at(-1),
    options.policy === 'fair' ? gapBoundMs(options) : '',
    mean(results.map(({ utilisation }) => utilisation)).toFixed(3),
    mean(results.map(({ sameZoneFraction }) => sameZoneFraction)).toFixed(2),
  ];
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

process.stdout.write(
  '| setting | gap mean ms | gap worst ms | bound ms | utilisation | same zone |\n',
);
process.stdout.write('| --- | --- | --- | --- | --- | --- |\n');
row('oracle', { policy: 'oracle' });
row('first come', { policy: 'first-come' });
(['none', 'own-grants', 'scaled', 'extrapolate'] as const).forEach((correction) => {
  [250, 1000].forEach((exchangePeriodMs) => {
    row(`${correction}, ${exchangePeriodMs} ms`, { correction, exchangePeriodMs });
  });
});
[100, 500, 2000, 4000].forEach((exchangePeriodMs) => {
  row(`scaled, ${exchangePeriodMs} ms`, { exchangePeriodMs });
});
row('own-grants, demand 250 ms', { demandPeriodMs: 250, correction: 'own-grants' });
row('scaled, demand 250 ms', { demandPeriodMs: 250, correction: 'scaled' });
row('extrapolate, demand 250 ms', { demandPeriodMs: 250, correction: 'extrapolate' });
row('none, demand 250 ms', { demandPeriodMs: 250, correction: 'none' });
const short = { meanRequestMs: 150, largestRequestMs: 1000 };
row('oracle, short requests', { ...short, policy: 'oracle' });
(['none', 'own-grants', 'scaled', 'extrapolate'] as const).forEach((correction) => {
  [250, 1000].forEach((exchangePeriodMs) => {
    row(`${correction}, short requests, ${exchangePeriodMs} ms`, {
      ...short,
      correction,
      exchangePeriodMs,
      demandPeriodMs: 250,
    });
  });
});
row('scaled, locality', { locality: true });
