import assert from 'node:assert/strict';
import { test } from 'node:test';
import { coalesce } from '../src/coalesce.js';

// Guards against a storm of signals, each of which reads the settings file while no request is answered.
test('many calls run an action at once and once more after the last call', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  let runs = 0;
  const call = coalesce(() => {
    runs += 1;
  }, 100);
  for (let count = 0; count < 1000; count += 1) call();
  assert.equal(runs, 1);
  t.mock.timers.tick(100);
  assert.equal(runs, 2);
  t.mock.timers.tick(100);
  assert.equal(runs, 2);
  call();
  assert.equal(runs, 3);
});
