import assert from 'node:assert/strict';
import { test } from 'node:test';

import { validateConfig } from '../../src/index.js';
import type { FleetConfig } from '../../src/index.js';
import { createFleetConfig, digest } from './fixtures.js';

const findProblems = (change: (config: FleetConfig) => void): string[] => {
  const config = createFleetConfig();
  change(config);
  const outcome = validateConfig(config);
  return outcome.ok ? [] : outcome.problems.map(({ path, message }) => `${path}: ${message}`);
};

test('a complete configuration is valid without warnings', () => {
  const outcome = validateConfig(createFleetConfig());
  assert.equal(outcome.ok, true);
  assert.deepEqual(outcome.ok && outcome.warnings, []);
});

test('a reference to an unknown service is reported with its path', () => {
  const problems = findProblems((config) => config.accounts.schools!.services.push('lookup'));
  assert.deepEqual(problems, ['accounts.schools.services[1]: service "lookup" does not exist']);
});

test('a backend server in a pool without services is an error', () => {
  const problems = findProblems((config) => {
    config.backends['engine-2']!.pool = 'spares';
  });
  assert.deepEqual(problems, ['backends.engine-2.pool: no service uses pool "spares"']);
});

test('a share of zero is an error', () => {
  const [problem] = findProblems((config) => {
    config.accounts.schools!.share = 0;
  });
  assert.match(problem ?? '', /^accounts\.schools\.share: /);
});

test('a backend server without a zone is an error', () => {
  const [problem] = findProblems((config) => {
    delete (config.backends['engine-1'] as { zone?: string }).zone;
  });
  assert.match(problem ?? '', /^backends\.engine-1\.zone: /);
});

test('a key hash in two accounts is an error', () => {
  const problems = findProblems((config) => config.accounts.schools!.keyHashes.push(digest('a')));
  assert.deepEqual(problems, [
    'accounts.schools.keyHashes[1]: the same key hash is listed by "opticians"',
  ]);
});

test('a misspelt setting is an error', () => {
  const [problem] = findProblems((config) => {
    (config.accounts.schools as { shares?: number }).shares = 3;
  });
  assert.match(problem ?? '', /^accounts\.schools: .*shares/);
});

test('a configuration in which no operator may change the operators is an error', () => {
  const problems = findProblems((config) => {
    delete config.operators.root;
  });
  assert.deepEqual(problems, ['operators: no operator with a key may change operators']);
});

test('a pool without active backend servers is a warning', () => {
  const config = createFleetConfig();
  delete config.backends['workshop-1'];
  config.backends['engine-1']!.draining = true;
  config.backends['engine-2']!.draining = true;
  const outcome = validateConfig(config);
  assert.deepEqual(outcome.ok && outcome.warnings.map(({ path }) => path), [
    'services.review-model.pool',
    'services.batches.pool',
  ]);
});
