import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createHasher } from '../../src/index.js';
import type { FleetOptions } from './fleet-harness.js';
import { DEFAULT_FLEET, gapBoundMs, runFleet } from './fleet-harness.js';

const hasher = await createHasher();
const SEEDS = [1, 2, 3];
const run = (changes: Partial<FleetOptions>) =>
  runFleet({ ...DEFAULT_FLEET, durationMs: 12_000, ...changes }, hasher);

SEEDS.forEach((seed) => {
  test(`the service gap stays within the stated bound, seed ${seed}`, () => {
    (['own-grants', 'scaled'] as const).forEach((correction) => {
      const options: FleetOptions = { ...DEFAULT_FLEET, correction, seed };
      const { gapMs } = run(options);
      assert.ok(gapMs <= gapBoundMs(options), `${correction}: ${gapMs} ms`);
    });
  });

  test(`first come, first served breaks the bound that one fair queue keeps, seed ${seed}`, () => {
    const boundMs = gapBoundMs(DEFAULT_FLEET);
    assert.ok(run({ policy: 'first-come', seed }).gapMs > boundMs);
    assert.ok(run({ policy: 'oracle', seed }).gapMs <= boundMs);
  });

  test(`the fleet is off the one queue by what it serves in two periods at most, seed ${seed}`, () => {
    const { sidecars, slotsPerSidecar, exchangePeriodMs } = DEFAULT_FLEET;
    const oracle = run({ policy: 'oracle', seed });
    const allowedMs = oracle.gapMs + 2 * sidecars * slotsPerSidecar * exchangePeriodMs;
    const { gapMs } = run({ seed });
    assert.ok(gapMs <= allowedMs, `${gapMs} ms against ${allowedMs} ms`);
  });

  test(`locality moves the gap by no more than its bounds allow, seed ${seed}`, () => {
    const options: FleetOptions = { ...DEFAULT_FLEET, locality: true, seed };
    const result = run(options);
    assert.ok(result.gapMs <= gapBoundMs(options), `${result.gapMs} ms`);
    assert.ok(
      result.sameZoneFraction > run({ seed }).sameZoneFraction,
      'more requests stay in their zone',
    );
  });
});

test('the same seed gives the same run', () => {
  const short = { durationMs: 3000, seed: 7 };
  assert.deepEqual(run(short), run(short));
});
