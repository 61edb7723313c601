import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createCostEstimator, estimateCostMs, observeCost } from '../../src/index.js';

test('returns the default estimate without history', () => {
  const estimator = createCostEstimator({ defaultMs: 700 });
  assert.equal(estimateCostMs(estimator, { account: 'ann', service: 'chat' }), 700);
});

test('uses the most specific history', () => {
  const estimator = createCostEstimator({ sampleWeight: 1 });
  observeCost(estimator, { account: 'ben', service: 'chat', maxTokens: 1000 }, 4000);
  observeCost(estimator, { account: 'ben', service: 'chat', maxTokens: 10 }, 300);
  observeCost(estimator, { account: 'ann', service: 'chat', maxTokens: 10 }, 500);
  const estimate = (account: string, maxTokens?: number, service = 'chat') =>
    estimateCostMs(estimator, { account, service, maxTokens });
  assert.equal(estimate('ann', 10), 500);
  assert.equal(estimate('ben', 10), 300);
  assert.equal(estimate('ann', 1000), 4000);
  assert.equal(estimate('cat', 9), 500);
  assert.equal(estimate('cat'), 500);
  assert.equal(estimate('cat', 10, 'other'), 1000);
});

test('updates the mean with each sample', () => {
  const estimator = createCostEstimator({ sampleWeight: 0.5 });
  const hints = { account: 'ann', service: 'chat', promptTokens: 50 };
  [100, 200, 400].forEach((ms) => observeCost(estimator, hints, ms));
  assert.equal(estimateCostMs(estimator, hints), 275);
});

test('keeps histories separate if names contain separators', () => {
  const estimator = createCostEstimator({ sampleWeight: 1, defaultMs: 1 });
  observeCost(estimator, { account: 'a","b', service: 'c' }, 900);
  assert.equal(estimateCostMs(estimator, { account: 'a', service: 'b","c' }), 1);
});

test('evicts the least recently used history at the maximum number', () => {
  const estimator = createCostEstimator({ maxHistories: 5, sampleWeight: 1 });
  for (let i = 0; i < 100; i++) {
    observeCost(estimator, { account: `a${i}`, service: 'chat' }, 100 + i);
    estimateCostMs(estimator, { account: 'a0', service: 'chat' });
  }
  assert.equal(estimator.histories.size, 5);
  assert.equal(estimateCostMs(estimator, { account: 'a0', service: 'chat' }), 100);
  assert.equal(estimateCostMs(estimator, { account: 'a50', service: 'chat' }), 199);
});

test('ignores invalid samples', () => {
  const estimator = createCostEstimator({ defaultMs: 5 });
  observeCost(estimator, { account: 'ann', service: 'chat' }, Number.NaN);
  observeCost(estimator, { account: 'ann', service: 'chat' }, -3);
  assert.equal(estimateCostMs(estimator, { account: 'ann', service: 'chat' }), 5);
});
