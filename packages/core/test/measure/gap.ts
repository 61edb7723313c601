/** Measures the service gap for several policies, corrections, exchange periods and locality settings. Prints one table row each. */
import { createHasher } from '../../src/index.js';
import type { FleetOptions } from '../fairness/fleet-harness.js';
import { DEFAULT_FLEET, gapBoundMs, runFleet } from '../fairness/fleet-harness.js';
import { numericOptions } from './options.js';

const { seeds, seconds } = numericOptions({ seeds: 5, seconds: 60 });
const hasher = await createHasher();

function printRow(name: string, overrides: Partial<FleetOptions>): void {
  const options = { ...DEFAULT_FLEET, ...overrides, durationMs: seconds * 1000 };
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
printRow('oracle', { policy: 'oracle' });
printRow('first come', { policy: 'first-come' });
(['none', 'own-grants', 'scaled', 'extrapolate'] as const).forEach((correction) => {
  [250, 1000].forEach((exchangePeriodMs) => {
    printRow(`${correction}, ${exchangePeriodMs} ms`, { correction, exchangePeriodMs });
  });
});
[100, 500, 2000, 4000].forEach((exchangePeriodMs) => {
  printRow(`scaled, ${exchangePeriodMs} ms`, { exchangePeriodMs });
});
printRow('own-grants, demand 250 ms', { demandPeriodMs: 250, correction: 'own-grants' });
printRow('scaled, demand 250 ms', { demandPeriodMs: 250, correction: 'scaled' });
printRow('extrapolate, demand 250 ms', { demandPeriodMs: 250, correction: 'extrapolate' });
printRow('none, demand 250 ms', { demandPeriodMs: 250, correction: 'none' });
const short = { meanRequestMs: 150, largestRequestMs: 1000 };
printRow('oracle, short requests', { ...short, policy: 'oracle' });
(['none', 'own-grants', 'scaled', 'extrapolate'] as const).forEach((correction) => {
  [250, 1000].forEach((exchangePeriodMs) => {
    printRow(`${correction}, short requests, ${exchangePeriodMs} ms`, {
      ...short,
      correction,
      exchangePeriodMs,
      demandPeriodMs: 250,
    });
  });
});
printRow('scaled, locality', { locality: true });
