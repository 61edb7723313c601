import assert from 'node:assert/strict';
import { before, test } from 'node:test';

import {
  VERSION_EXCHANGE_PERIOD_MS,
  CONFIG_REQUEST_TIMEOUT_MS,
  SLOW_POLL_INTERVAL_MS,
  getConfigStatus,
  createConfigReducer,
  createConfigState,
  createHasher,
  isWatcher,
} from '../../src/index.js';
import type {
  ConfigEffect,
  ConfigEvent,
  ConfigMessage,
  ConfigState,
  Hasher,
  Role,
} from '../../src/index.js';
import { createFleetConfig } from './fixtures.js';

let hasher: Hasher;
before(async () => {
  hasher = await createHasher();
});

const shareOf = (share: number) => ({ accounts: { schools: { share } } });

/** Creates a process at configuration version 7 with links to peers at the same version. */
const createProcess = (peers: string[] = [], role: Role = 'router') => {
  const reduce = createConfigReducer(hasher);
  const state: ConfigState = createConfigState({ id: 'r1', role, seed: 1 }, 0);
  const feed = (event: ConfigEvent): ConfigEffect[] => reduce(state, event).effects;
  const receive = (link: string, message: ConfigMessage, nowMs = 1) =>
    feed({ kind: 'message', nowMs, link, message });
  feed({ kind: 'config-loaded', nowMs: 0, config: createFleetConfig() });
  peers.forEach((link) => feed({ kind: 'link-opened', nowMs: 0, link, version: 7 }));
  return { state, feed, receive };
};

const describeEffects = (effects: ConfigEffect[]): string[] =>
  effects.map((effect) =>
    effect.kind === 'send' ? `${effect.message.kind} to ${effect.link}` : effect.kind,
  );

test('a newer patch is put in force and forwarded once to every peer except its sender', () => {
  const { state, receive } = createProcess(['a', 'b', 'c']);
  const patch: ConfigMessage = { kind: 'config-patch', version: 8, patch: shareOf(3) };
  assert.deepEqual(describeEffects(receive('a', patch)), [
    'config-in-force',
    'config-patch to b',
    'config-patch to c',
  ]);
  assert.equal(state.config.accounts.schools?.share, 3);
  assert.deepEqual(receive('b', patch), []);
});

test('an older patch or document does not replace the configuration in force', () => {
  const { state, receive } = createProcess(['a']);
  assert.deepEqual(receive('a', { kind: 'config-patch', version: 7, patch: shareOf(9) }), []);
  const older = { ...createFleetConfig(), version: 6 };
  assert.deepEqual(receive('a', { kind: 'config-full', config: older }), []);
  assert.equal(state.config.version, 7);
});

test('a patch that skips a version makes the process request the missing patches', () => {
  const { state, receive } = createProcess(['a']);
  const effects = receive('a', { kind: 'config-patch', version: 9, patch: shareOf(3) });
  assert.deepEqual(effects, [
    { kind: 'send', link: 'a', message: { kind: 'config-request', version: 7 } },
  ]);
  assert.equal(getConfigStatus(state, 501).behindForMs, 500);
  assert.equal(getConfigStatus(state, 501).newestVersion, 9);
});

test('an outdated peer receives the missing patches, or the whole configuration if they are no longer kept', () => {
  const { receive } = createProcess(['a', 'b']);
  receive('a', { kind: 'config-patch', version: 8, patch: shareOf(3) });
  receive('a', { kind: 'config-patch', version: 9, patch: shareOf(4) });
  const patches = receive('b', { kind: 'config-request', version: 7 });
  assert.deepEqual(describeEffects(patches), ['config-patch to b', 'config-patch to b']);
  const fullConfig = receive('b', { kind: 'config-request', version: 3 });
  assert.deepEqual(describeEffects(fullConfig), ['config-full to b']);
});

test('an unanswered request is repeated to the peer with the highest version', () => {
  const { feed, receive } = createProcess(['a', 'b']);
  assert.equal(receive('a', { kind: 'config-version', version: 9 }).length, 1);
  assert.deepEqual(receive('b', { kind: 'config-version', version: 10 }), []);
  const effects = feed({ kind: 'tick', nowMs: 1 + CONFIG_REQUEST_TIMEOUT_MS });
  assert.deepEqual(describeEffects(effects), ['config-request to b']);
});

test('the version is sent when a link opens and periodically', () => {
  const { feed } = createProcess();
  const opened = feed({ kind: 'link-opened', nowMs: 0, link: 'a', version: 5 });
  assert.deepEqual(describeEffects(opened), ['config-version to a']);
  const ticked = feed({ kind: 'tick', nowMs: VERSION_EXCHANGE_PERIOD_MS });
  assert.deepEqual(describeEffects(ticked), ['config-version to a']);
});

test('a process loads the whole configuration after a patch that does not apply', () => {
  const { state, receive, feed } = createProcess(['a']);
  const broken = { accounts: { unheard: { share: 1 } } };
  const effects = receive('a', { kind: 'config-patch', version: 8, patch: broken });
  assert.equal(state.config.version, 7);
  assert.deepEqual(effects, [{ kind: 'poll-store', mode: 'load', version: 7, timeoutMs: 0 }]);
  feed({ kind: 'config-loaded', nowMs: 2, config: { ...createFleetConfig(), version: 8 } });
  assert.equal(state.config.version, 8);
});

test('a watcher repeats its watch immediately, other routers poll slowly, and a linked sidecar does not poll', () => {
  const watcher = createProcess();
  const watching = watcher.feed({
    kind: 'routers-changed',
    nowMs: 1,
    routersOfZone: ['r1'],
    routersInFleet: 1,
  });
  assert.equal(watching[0]?.kind === 'poll-store' && watching[0].mode, 'watch');
  const nextPoll = watcher.feed({ kind: 'patches-loaded', nowMs: 2, patches: [] });
  assert.equal(nextPoll[0]?.kind === 'poll-store' && nextPoll[0].mode, 'watch');

  const other = createProcess();
  assert.deepEqual(other.feed({ kind: 'tick', nowMs: SLOW_POLL_INTERVAL_MS / 2 }), []);
  const late = other.feed({ kind: 'tick', nowMs: SLOW_POLL_INTERVAL_MS * 1.2 });
  assert.equal(late[0]?.kind === 'poll-store' && late[0].mode, 'read');

  const sidecar = createProcess(['a'], 'sidecar');
  const effects = sidecar.feed({ kind: 'tick', nowMs: SLOW_POLL_INTERVAL_MS * 2 });
  assert.deepEqual(describeEffects(effects), ['config-version to a']);
});

test('calls to a failing object service are retried with increasing delays', () => {
  const { feed, state } = createProcess();
  const delays: number[] = [];
  let nowMs = SLOW_POLL_INTERVAL_MS * 1.2;
  for (let attempt = 0; attempt < 6; attempt += 1) {
    assert.equal(feed({ kind: 'tick', nowMs }).length, 1);
    feed({ kind: 'store-failed', nowMs });
    delays.push(state.store.nextAtMs - nowMs);
    nowMs = state.store.nextAtMs;
  }
  assert.ok(delays[0]! < 1000 && delays[5]! >= 8000, delays.join(' '));
});

test('an older configuration from the object service is ignored', () => {
  const { state, feed } = createProcess();
  feed({ kind: 'config-loaded', nowMs: 5, config: { ...createFleetConfig(), version: 2 } });
  assert.equal(state.config.version, 7);
});

test('two routers per zone watch regardless of its size, and remaining watchers are kept when one leaves', () => {
  const routers = Array.from({ length: 40 }, (_, index) => `r${index}`);
  const watchersOf = (zone: string[]) => zone.filter((id) => isWatcher(hasher, id, zone));
  const watchers = watchersOf(routers);
  assert.equal(watchers.length, 2);
  const without = routers.filter((id) => id !== watchers[0]);
  const after = watchersOf(without);
  assert.equal(after.length, 2);
  assert.ok(after.includes(watchers[1]!));
  assert.deepEqual(watchersOf(['alone']), ['alone']);
});
