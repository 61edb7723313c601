/**
 * Guards against streams that go on at another version because a router that was cut off or stood still has missed the servers
 * of the version that began them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptOutcome, directReducer } from '../../src/direct/index.js';
import type { BackendServerEntry, DirectEffect } from '../../src/direct/index.js';
import {
  createSampleRouter,
  createSampleStore,
  expectRefusal,
  expectSend,
  sampleConfig,
  sampleEntry,
} from './sample.js';
import type { SampleRouter, SampleStore } from './sample.js';

const OLD = [sampleEntry('e1'), sampleEntry('e2')];
const NEW = [sampleEntry('e3'), sampleEntry('e4')].map((entry) => ({
  ...entry,
  softwareVersion: 'v2',
}));
/** Longer than the period in which routers write their journals. */
const JOURNAL_MS = 250;

const startRouter = (store: SampleStore, name: string, entries: BackendServerEntry[]) =>
  createSampleRouter(entries, sampleConfig(), name, store);

function tick(router: SampleRouter, ms: number): void {
  router.advance(ms);
  router.dispatch({ kind: 'tick' });
}

/** A router that knows the old servers only, and one that has begun a stream at a new server, which is the only one left. */
function beginElsewhere({ isJournalWritten = true } = {}) {
  const store = createSampleStore();
  const lagging = startRouter(store, 'lagging', OLD);
  const current = startRouter(store, 'current', OLD);
  NEW.forEach((entry) => current.dispatch({ kind: 'server-changed', entry }));
  OLD.forEach(({ id }) => current.dispatch({ kind: 'server-removed', id }));
  // The version is recorded before streams begin at it.
  tick(current, JOURNAL_MS);
  const { attempt, decisionInputs } = expectSend(current.request('s1'));
  assert.equal(decisionInputs.version, 'v2');
  current.dispatch({ kind: 'attempt-begun', attempt });
  current.dispatch({ kind: 'events-delivered', request: 's1', lastEventId: '3' });
  if (isJournalWritten) tick(current, JOURNAL_MS);
  return { store, lagging, current };
}

const RESUMED = { streamId: 's1', resumeAfter: '3' };

function expectNotRun(effects: DirectEffect[]): void {
  const { refusal } = expectRefusal(effects);
  assert.deepEqual([refusal.status, refusal.ran], [503, 'no']);
}

test('a stream of a version whose servers a router has missed is refused as not run', () => {
  const { lagging } = beginElsewhere();
  expectNotRun(lagging.request('again', RESUMED));
});

test('it is also refused while its router has not recorded it yet', () => {
  const { lagging } = beginElsewhere({ isJournalWritten: false });
  expectNotRun(lagging.request('again', RESUMED));
});

test('it is also refused while the store does not answer', () => {
  const { store, lagging } = beginElsewhere();
  store.isDown = true;
  expectNotRun(lagging.request('again', RESUMED));
});

test('it goes on at its own version once the router has heard of its servers', () => {
  const { lagging } = beginElsewhere();
  expectNotRun(lagging.request('again', RESUMED));
  NEW.forEach((entry) => lagging.dispatch({ kind: 'server-changed', entry }));
  tick(lagging, JOURNAL_MS);
  assert.equal(expectSend(lagging.request('once-more', RESUMED)).decisionInputs.version, 'v2');
});

test('an attempt that breaks at the lagging router goes to no server of another version', () => {
  const { lagging } = beginElsewhere();
  NEW.slice(0, 1).forEach((entry) => lagging.dispatch({ kind: 'server-changed', entry }));
  tick(lagging, JOURNAL_MS);
  const { attempt, serverKey } = expectSend(lagging.request('again', RESUMED));
  assert.equal(serverKey, 'e3@1');
  const outcome = AttemptOutcome.Unknown;
  const effects = lagging.dispatch({ kind: 'attempt-ended', attempt, outcome, detail: '' });
  const servers = effects.flatMap((effect) => (effect.kind === 'send' ? effect.serverKey : []));
  assert.deepEqual(
    servers.filter((key) => key !== 'e3@1'),
    [],
  );
});

test('records that were read before a request arrived do not decide it', () => {
  const { lagging } = beginElsewhere();
  tick(lagging, JOURNAL_MS);
  const { state } = lagging;
  const dispatch = (event: Parameters<typeof directReducer>[1]) =>
    directReducer(state, event).effects;
  const waiting = { ...sampleRequest(lagging), ...RESUMED };
  // The router stands still after this read has begun; its answer is of before the new version.
  state.versions.reading = new Map();
  const arrived = dispatch({
    kind: 'request',
    request: 'again',
    attributes: waiting,
    draw: 0,
    nowMs: lagging.now(),
  });
  assert.deepEqual(arrived, []);
  const records = { versions: new Map([['engines', ['v1']]]), streams: [] };
  const answered = dispatch({ kind: 'streams-read', records, nowMs: lagging.now() + 100 });
  assert.deepEqual(
    answered.map(({ kind }) => kind),
    ['read-streams'],
  );
});

/** Attributes of a request as the sample router sends them. */
function sampleRequest(router: SampleRouter) {
  const { requestId } = router.state.attempts.get(expectSend(router.request('sample')).attempt)!;
  return router.state.requests.get(requestId)!.attributes;
}
