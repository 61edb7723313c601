import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createHasher } from '../../src/index.js';
import type { FleetOptions } from './fleet-harness.js';
import { DEFAULT_FLEET, gapBoundMs, runFleet } from './fleet-harness.js';

const hasher = await createHasher();
const SEEDS = [1, 2, 3];
const runShort = (changes: Partial<FleetOptions>) =>
  runFleet({ ...DEFAULT_FLEET, durationMs: 12_000, ...changes }, hasher);

SEEDS.forEach((seed) => {
  test(`keeps the service gap within the bound, seed ${seed}`, () => {
    (['own-grants', 'scaled'] as const).forEach((correction) => {
      const options: FleetOptions = { ...DEFAULT_FLEET, correction, seed };
      const { gapMs } = runShort(options);
      assert.ok(gapMs <= gapBoundMs(options), `${correction}: ${gapMs} ms`);
    });
  });

  test(`first come, first served exceeds the bound that a central fair queue meets, seed ${seed}`, () => {
    const boundMs = gapBoundMs(DEFAULT_FLEET);
    assert.ok(runShort({ policy: 'first-come', seed }).gapMs > boundMs);
    assert.ok(runShort({ policy: 'oracle', seed }).gapMs <= boundMs);
  });

  test(`the gap exceeds that of a central queue by at most two periods of service, seed ${seed}`, () => {
    const { sidecars, slotsPerSidecar, exchangePeriodMs } = DEFAULT_FLEET;
    const oracle = runShort({ policy: 'oracle', seed });
    const allowedMs = oracle.gapMs + 2 * sidecars * slotsPerSidecar * exchangePeriodMs;
    const { gapMs } = runShort({ seed });
    assert.ok(gapMs <= allowedMs, `${gapMs} ms against ${allowedMs} ms`);
  });

  test(`keeps the service gap within the bound with locality, seed ${seed}`, () => {
    const options: FleetOptions = { ...DEFAULT_FLEET, locality: true, seed };
    const result = runShort(options);
    assert.ok(result.gapMs <= gapBoundMs(options), `${result.gapMs} ms`);
    assert.ok(
      result.sameZoneFraction > runShort({ seed }).sameZoneFraction,
      'locality increases the fraction of same-zone requests',
    );
  });
});

test('the same seed produces the same run', () => {
  const short = { durationMs: 3000, seed: 7 };
  assert.deepEqual(runShort(short), runShort(short));
});
