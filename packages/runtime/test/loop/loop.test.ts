import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLoop } from '../../src/index.js';

type Event = { kind: 'add'; name: string } | { kind: 'break' };
type Effect = { kind: 'note'; name: string } | { kind: 'echo'; name: string } | { kind: 'fail' };

function reduce(state: string[], event: Event) {
  if (event.kind === 'break') throw new Error('broken');
  const { name } = event;
  const effects: Effect[] = [{ kind: 'note', name: `${name}1` }];
  if (name.length === 1) effects.push({ kind: 'echo', name }, { kind: 'fail' });
  effects.push({ kind: 'note', name: `${name}2` });
  return { state: [...state, name], effects };
}

function createSample() {
  const notes: string[] = [];
  const errors: Error[] = [];
  const loop = createLoop<string[], Event, Effect>({
    initialState: [],
    reduce,
    handlers: {
      note: ({ name }) => {
        notes.push(name);
      },
      echo: ({ name }, dispatch) => dispatch({ kind: 'add', name: `${name}${name}` }),
      fail: () => Promise.reject(new Error('no')),
    },
    onError: (err) => errors.push(err),
  });
  return { loop, notes, errors };
}

test('effects run in order, before the events that they dispatch', async () => {
  const { loop, notes, errors } = createSample();
  loop.dispatch({ kind: 'add', name: 'a' });
  assert.deepEqual(notes, ['a1', 'a2', 'aa1', 'aa2']);
  assert.deepEqual(loop.state(), ['a', 'aa']);
  await new Promise(setImmediate);
  assert.deepEqual(errors.map(String), ['EffectError: effect fail failed: no']);
});

// Guards against a process that ends with all its work because of an error that concerns one effect.
test('an error of an effect that belongs to one request is handled by events, and no other error is', async () => {
  const errors: string[] = [];
  const recovered: string[] = [];
  const loop = createLoop<string[], Event, Effect>({
    initialState: [],
    reduce,
    handlers: {
      note({ name }) {
        if (name === 'a1') throw new Error('odd');
      },
      echo: () => undefined,
      fail: () => Promise.reject(new Error('no')),
    },
    onEffectError(err, { kind }) {
      if (kind !== 'note') return undefined;
      recovered.push(String(err));
      return [{ kind: 'add', name: 'ended' }];
    },
    onError: (err) => errors.push(String(err)),
  });
  loop.dispatch({ kind: 'add', name: 'a' });
  await new Promise(setImmediate);
  assert.deepEqual(loop.state(), ['a', 'ended']);
  assert.deepEqual(recovered, ['EffectError: effect note failed: odd']);
  assert.deepEqual(errors, ['EffectError: effect fail failed: no']);
});

test('a reducer error closes the loop', () => {
  const { loop, errors } = createSample();
  loop.dispatch({ kind: 'break' });
  loop.dispatch({ kind: 'add', name: 'a' });
  assert.deepEqual(errors.map(String), ['ReducerError: reducer failed: broken']);
  assert.deepEqual(loop.state(), []);
});

test('a closed loop ignores events', () => {
  const { loop, notes } = createSample();
  loop.close();
  loop.dispatch({ kind: 'add', name: 'a' });
  assert.deepEqual(notes, []);
});
