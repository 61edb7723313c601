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

/** A process with the configuration of version 7 and links to the peers, which have it too. */
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

const kinds = (effects: ConfigEffect[]): string[] =>
  effects.map((effect) =>
    effect.kind === 'send' ? `${effect.message.kind} to ${effect.link}` : effect.kind,
  );

test('a newer patch comes into force and is passed on once, not back', () => {
  const { state, receive } = createProcess(['a', 'b', 'c']);
  const patch: ConfigMessage = { kind: 'config-patch', version: 8, patch: shareOf(3) };
  assert.deepEqual(kinds(receive('a', patch)), [
    'config-in-force',
    'config-patch to b',
    'config-patch to c',
  ]);
  assert.equal(state.config.accounts.schools?.share, 3);
  assert.deepEqual(receive('b', patch), []);
});

test('an older patch or document never replaces the one in force', () => {
  const { state, receive } = createProcess(['a']);
  assert.deepEqual(receive('a', { kind: 'config-patch', version: 7, patch: shareOf(9) }), []);
  const older = { ...createFleetConfig(), version: 6 };
  assert.deepEqual(receive('a', { kind: 'config-full', config: older }), []);
  assert.equal(state.config.version, 7);
});

test('a patch that leaves a gap makes the process ask for what it misses', () => {
  const { state, receive } = createProcess(['a']);
  const effects = receive('a', { kind: 'config-patch', version: 9, patch: shareOf(3) });
  assert.deepEqual(effects, [
    { kind: 'send', link: 'a', message: { kind: 'config-request', version: 7 } },
  ]);
  assert.equal(getConfigStatus(state, 501).behindForMs, 500);
  assert.equal(getConfigStatus(state, 501).newestVersion, 9);
});

test('a peer that is behind gets the patches, or the whole when they are not at hand', () => {
  const { receive } = createProcess(['a', 'b']);
  receive('a', { kind: 'config-patch', version: 8, patch: shareOf(3) });
  receive('a', { kind: 'config-patch', version: 9, patch: shareOf(4) });
  const patches = receive('b', { kind: 'config-request', version: 7 });
  assert.deepEqual(kinds(patches), ['config-patch to b', 'config-patch to b']);
  const whole = receive('b', { kind: 'config-request', version: 3 });
  assert.deepEqual(kinds(whole), ['config-full to b']);
});

test('a request that is not answered is made again of the newest peer', () => {
  const { feed, receive } = createProcess(['a', 'b']);
  assert.equal(receive('a', { kind: 'config-version', version: 9 }).length, 1);
  assert.deepEqual(receive('b', { kind: 'config-version', version: 10 }), []);
  const effects = feed({ kind: 'tick', nowMs: 1 + CONFIG_REQUEST_TIMEOUT_MS });
  assert.deepEqual(kinds(effects), ['config-request to b']);
});

test('versions are compared when a link opens and from time to time', () => {
  const { feed } = createProcess();
  const opened = feed({ kind: 'link-opened', nowMs: 0, link: 'a', version: 5 });
  assert.deepEqual(kinds(opened), ['config-version to a']);
  const ticked = feed({ kind: 'tick', nowMs: VERSION_EXCHANGE_PERIOD_MS });
  assert.deepEqual(kinds(ticked), ['config-version to a']);
});

test('a patch that does not apply makes the process load the whole configuration', () => {
  const { state, receive, feed } = createProcess(['a']);
  const broken = { accounts: { unheard: { share: 1 } } };
  const effects = receive('a', { kind: 'config-patch', version: 8, patch: broken });
  assert.equal(state.config.version, 7);
  assert.deepEqual(effects, [{ kind: 'poll-store', mode: 'load', version: 7, timeoutMs: 0 }]);
  feed({ kind: 'config-loaded', nowMs: 2, config: { ...createFleetConfig(), version: 8 } });
  assert.equal(state.config.version, 8);
});

test('a watcher watches again at once; others read slowly, and a sidecar with links not at all', () => {
  const watcher = createProcess();
  const watching = watcher.feed({
    kind: 'routers-changed',
    nowMs: 1,
    routersOfZone: ['r1'],
    routersInFleet: 1,
  });
  assert.equal(watching[0]?.kind === 'poll-store' && watching[0].mode, 'watch');
  const again = watcher.feed({ kind: 'patches-loaded', nowMs: 2, patches: [] });
  assert.equal(again[0]?.kind === 'poll-store' && again[0].mode, 'watch');

  const other = createProcess();
  assert.deepEqual(other.feed({ kind: 'tick', nowMs: SLOW_POLL_INTERVAL_MS / 2 }), []);
  const late = other.feed({ kind: 'tick', nowMs: SLOW_POLL_INTERVAL_MS * 1.2 });
  assert.equal(late[0]?.kind === 'poll-store' && late[0].mode, 'read');

  const sidecar = createProcess(['a'], 'sidecar');
  const effects = sidecar.feed({ kind: 'tick', nowMs: SLOW_POLL_INTERVAL_MS * 2 });
  assert.deepEqual(kinds(effects), ['config-version to a']);
});

test('the object service is tried again with growing delays while it fails', () => {
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

test('an older configuration in the object service changes nothing', () => {
  const { state, feed } = createProcess();
  feed({ kind: 'config-loaded', nowMs: 5, config: { ...createFleetConfig(), version: 2 } });
  assert.equal(state.config.version, 7);
});

test('two routers of a zone watch, whatever its size, and keep watching when others leave', () => {
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
