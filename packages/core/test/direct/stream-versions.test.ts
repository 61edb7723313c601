import assert from 'node:assert/strict';
import { test } from 'node:test';
import { areVersionsAttempted, AttemptOutcome, directReducer } from '../../src/direct/index.js';
import type {
  BackendServerEntry,
  DirectEffect,
  DirectEvent,
  RequestAttributes,
} from '../../src/direct/index.js';
import {
  createSampleRouter,
  createSampleState,
  createSampleStore,
  expectRefusal,
  expectSend,
  sampleConfig,
  sampleEntry,
} from './sample.js';
import type { SampleRouter, SampleStore } from './sample.js';

const OLD = { softwareVersion: 'v1' };
const NEW = { softwareVersion: 'v2' };

/** Begins a stream, delivers an event and breaks the connection. Returns the effects of the break. */
function breakStream(
  router: SampleRouter,
  id: string,
  isServerGone = false,
): { version: string; effects: DirectEffect[] } {
  const { attempt, serverKey, decisionInputs } = expectSend(router.request(id));
  router.dispatch({ kind: 'attempt-begun', attempt });
  router.dispatch({ kind: 'events-delivered', request: id, lastEventId: '3' });
  if (isServerGone) router.dispatch({ kind: 'server-removed', id: serverKey.split('@')[0]! });
  const ended = { attempt, outcome: AttemptOutcome.Unknown, detail: '' };
  return {
    version: decisionInputs.version!,
    effects: router.dispatch({ kind: 'attempt-ended', ...ended }),
  };
}

// Guards against answers that are joined from two versions of the servers' software.
test('a broken stream continues at its own version', () => {
  // The other server of the old version costs more than those of the new one.
  const router = createSampleRouter([
    sampleEntry('e1', OLD),
    sampleEntry('e2', NEW),
    sampleEntry('e3', { ...OLD, zone: 'other-region' }),
  ]);
  const { version, effects } = breakStream(router, 's1');
  assert.equal(version, 'v1');
  const next = expectSend(effects);
  assert.deepEqual([next.serverKey, next.lastEventId], ['e3@1', '3']);
});

test('a broken stream whose version has no other server ends as broken', () => {
  const router = createSampleRouter([sampleEntry('e1', OLD), sampleEntry('e2', NEW)]);
  const { effects } = breakStream(router, 's1', true);
  assert.equal(expectRefusal(effects).refusal.status, 502);
});

const RESUMED = { streamId: 'elsewhere', resumeAfter: '3' };
const BOTH = [
  ...['e1', 'e2'].map((id) => sampleEntry(id, OLD)),
  ...['e3', 'e4'].map((id) => sampleEntry(id, NEW)),
];

function startRouter(
  store: SampleStore,
  name: string,
  entries: BackendServerEntry[] = BOTH,
): SampleRouter {
  return createSampleRouter(entries, sampleConfig(), name, store);
}

/** Prompt whose shared part decides which server is preferred. */
function promptOf(id: string): Partial<RequestAttributes> {
  const promptParts = [`shared-${id}`, `own-${id}`].map((part) => ({ id: part, tokens: 1000 }));
  return { promptParts, promptTokens: 2000 };
}

/** Begins streams and delivers an event of each. Returns the version of each stream. */
function beginStreams(router: SampleRouter, count: number): Map<string, string> {
  const ids = Array.from({ length: count }, (_none, index) => `stream-${index}`);
  return new Map(
    ids.map((id) => {
      const { attempt, decisionInputs } = expectSend(router.request(id, promptOf(id)));
      router.dispatch({ kind: 'attempt-begun', attempt });
      router.dispatch({ kind: 'events-delivered', request: id, lastEventId: '3' });
      return [id, decisionInputs.version!];
    }),
  );
}

function tick(router: SampleRouter, ms: number): void {
  router.advance(ms);
  router.dispatch({ kind: 'tick' });
}

// Guards against answers that are joined by a router that doesn't know the version that began the stream.
test('a stream that a caller resumes is not sent to any version while its own is unknown', () => {
  const router = createSampleRouter([sampleEntry('e1', OLD), sampleEntry('e2', NEW)]);
  const { refusal } = expectRefusal(router.request('r1', RESUMED));
  assert.deepEqual([refusal.status, refusal.ran], [503, 'no']);
});

test('a stream that a caller resumes is not sent to the only version listed by a router that has just started', () => {
  const store = createSampleStore();
  startRouter(store, 'before', [sampleEntry('e1', OLD)]);
  const router = startRouter(store, 'after', [sampleEntry('e1', NEW), sampleEntry('e2', NEW)]);
  assert.equal(expectRefusal(router.request('r1', RESUMED)).refusal.ran, 'no');
});

test('a stream that a caller resumes is sent on while only one version may have begun it', () => {
  const store = createSampleStore();
  startRouter(store, 'before', [sampleEntry('e1', OLD)]);
  const router = startRouter(store, 'after', [sampleEntry('e2', OLD)]);
  assert.equal(expectSend(router.request('r1', RESUMED)).decisionInputs.version, 'v1');
});

// Guards against answers joined from two versions after all routers have lost power at once.
test('streams go on at their own version after all routers have lost their memory', () => {
  const store = createSampleStore();
  const before = startRouter(store, 'before');
  const streams = beginStreams(before, 40);
  assert.equal(new Set(streams.values()).size, 2);
  tick(before, 250);
  const late = expectSend(before.request('late')).request;
  const after = startRouter(store, 'after');
  streams.forEach((version, streamId) => {
    after.advance(5);
    const send = expectSend(after.request(`again-${streamId}`, { ...RESUMED, streamId }));
    assert.equal(send.decisionInputs.version, version);
  });
  after.advance(5);
  // Recorded by no write.
  assert.equal(
    expectRefusal(after.request('again', { ...RESUMED, streamId: late })).refusal.ran,
    'no',
  );
});

test('streams of a version whose servers have left are refused as not run', () => {
  const store = createSampleStore();
  const before = startRouter(store, 'before');
  const streams = beginStreams(before, 40);
  tick(before, 250);
  const after = startRouter(store, 'after', [sampleEntry('e3', NEW), sampleEntry('e4', NEW)]);
  streams.forEach((version, streamId) => {
    after.advance(5);
    const effects = after.request(`again-${streamId}`, { ...RESUMED, streamId });
    if (version === 'v2') assert.equal(expectSend(effects).decisionInputs.version, 'v2');
    else assert.equal(expectRefusal(effects).refusal.ran, 'no');
  });
});

test('streams begun before a second version came are recorded once it has', () => {
  const store = createSampleStore();
  const before = startRouter(store, 'before', [sampleEntry('e1', OLD)]);
  beginStreams(before, 5);
  before.dispatch({ kind: 'server-changed', entry: sampleEntry('e2', NEW) });
  tick(before, 250);
  const after = startRouter(store, 'after');
  const effects = after.request('again', { ...RESUMED, streamId: 'stream-0' });
  assert.equal(expectSend(effects).decisionInputs.version, 'v1');
});

// Guards against a stream at a version that no other router can know of.
test('no stream begins at a version before the store has recorded it', () => {
  const store = createSampleStore();
  const router = startRouter(store, 'one', [sampleEntry('e1', OLD)]);
  store.isDown = true;
  router.dispatch({ kind: 'server-changed', entry: sampleEntry('e2', NEW) });
  for (let index = 0; index < 10; index += 1)
    assert.equal(
      expectSend(router.request(`s${index}`, promptOf(`s${index}`))).decisionInputs.version,
      'v1',
    );
  store.isDown = false;
  tick(router, 250);
  const versions = Array.from(
    { length: 10 },
    (_none, index) =>
      expectSend(router.request(`t${index}`, promptOf(`t${index}`))).decisionInputs.version,
  );
  assert.ok(versions.includes('v2'));
});

// Guards against a router that takes connections and refuses all streams for its first moments.
test('a router that starts counts as ready once the versions of its servers have been recorded', () => {
  const state = createSampleState();
  const dispatch = (event: DirectEvent) => directReducer(state, event).effects;
  dispatch({ kind: 'configured', config: sampleConfig(), nowMs: 1000 });
  const effects = [
    ...dispatch({ kind: 'servers-listed', entries: BOTH, nowMs: 1000 }),
    ...dispatch({ kind: 'tick', nowMs: 1050 }),
  ];
  const [effect] = effects.filter(({ kind }) => kind === 'record-versions');
  assert.equal(areVersionsAttempted(state), false);
  const record = { versions: ['v1', 'v2'], unused: [] };
  assert.ok(effect?.kind === 'record-versions');
  dispatch({ ...effect, kind: 'versions-recorded', record, nowMs: 1060 });
  assert.equal(areVersionsAttempted(state), true);
});

test('a stream that a caller resumes is refused as not run while the store does not answer', () => {
  const store = createSampleStore();
  const router = startRouter(store, 'one', [sampleEntry('e1', OLD)]);
  store.isDown = true;
  assert.equal(expectRefusal(router.request('r1', RESUMED)).refusal.ran, 'no');
});

test('the versions are recorded again after the store has been restored from an older copy', () => {
  const store = createSampleStore();
  const router = startRouter(store, 'one');
  beginStreams(router, 5);
  tick(router, 250);
  store.versions.clear();
  store.streamsByRouter.clear();
  router.dispatch({ kind: 'store-restored' });
  tick(router, 250);
  assert.deepEqual(store.versions.get('engines')?.versions, ['v1', 'v2']);
  assert.equal(store.streamsByRouter.size, 1);
});

const MINUTE_MS = 60_000;

function waitMinutes(router: SampleRouter, minutes: number): void {
  for (let second = 0; second < minutes * 60; second += 1) tick(router, MINUTE_MS / 60);
}

test('a version whose servers have left is removed from the record, and recorded anew if they come back', () => {
  const store = createSampleStore();
  const router = startRouter(store, 'one');
  ['e1', 'e2'].forEach((id) => router.dispatch({ kind: 'server-removed', id }));
  waitMinutes(router, 2);
  assert.deepEqual(store.versions.get('engines'), { versions: ['v1', 'v2'], unused: ['v1'] });
  waitMinutes(router, 2);
  assert.deepEqual(store.versions.get('engines'), { versions: ['v2'], unused: [] });
  const after = startRouter(store, 'after', [sampleEntry('e3', NEW)]);
  assert.equal(expectSend(after.request('r1', RESUMED)).decisionInputs.version, 'v2');
  router.dispatch({ kind: 'server-changed', entry: sampleEntry('e1', OLD) });
  assert.deepEqual(store.versions.get('engines')?.versions, ['v2', 'v1']);
});

// Guards against a version that is removed while another router begins streams at it.
test('a version that one router uses is not removed by others that see none of its servers', () => {
  const store = createSampleStore();
  const user = startRouter(store, 'user');
  const other = startRouter(store, 'other');
  ['e1', 'e2'].forEach((id) => other.dispatch({ kind: 'server-removed', id }));
  for (let minute = 0; minute < 15; minute += 1) {
    waitMinutes(user, 1);
    waitMinutes(other, 1);
    assert.deepEqual(store.versions.get('engines')?.versions, ['v1', 'v2']);
  }
});

// Guards against a journal that keeps the streams of a service with one version until it is full.
test('streams are forgotten once no caller can resume them, also while only one version serves', () => {
  const router = startRouter(createSampleStore(), 'one', [sampleEntry('e1', OLD)]);
  beginStreams(router, 5).forEach((_version, id) =>
    router.dispatch({ kind: 'caller-left', request: id }),
  );
  tick(router, 1000);
  assert.equal(router.state.versions.journal.size(), 5);
  waitMinutes(router, 2);
  assert.equal(router.state.versions.journal.size(), 0);
});
