import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptOutcome } from '../../src/direct/index.js';
import type { DirectEffect } from '../../src/direct/index.js';
import { createSampleRouter, expectSend, sampleEntry } from './sample.js';
import type { SampleRouter } from './sample.js';

const OLD = { softwareVersion: 'v1' };
const NEW = { softwareVersion: 'v2' };
const TODO = { todo: 'KNOWN-RED.txt, issue 36' };

const isSend = ({ kind }: DirectEffect): boolean => kind === 'send';

/** Begins a stream, delivers an event and breaks the connection. Returns the effects of the break. */
function breakStream(
  router: SampleRouter,
  id: string,
): { version: string; effects: DirectEffect[] } {
  const { attempt, decisionInputs } = expectSend(router.request(id));
  router.dispatch({ kind: 'attempt-begun', attempt });
  router.dispatch({ kind: 'events-delivered', request: id, lastEventId: '3' });
  const ended = { attempt, outcome: AttemptOutcome.Unknown, detail: '' };
  return {
    version: decisionInputs.version!,
    effects: router.dispatch({ kind: 'attempt-ended', ...ended }),
  };
}

// Guards against answers that are joined from two versions of the servers' software.
test('a broken stream continues at its own version', TODO, () => {
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

test('a broken stream whose version has no other server ends as broken', TODO, () => {
  const router = createSampleRouter([
    sampleEntry('e1', OLD),
    sampleEntry('e2', { ...NEW, zone: 'z2' }),
  ]);
  const { version, effects } = breakStream(router, 's1');
  assert.equal(version, 'v1');
  assert.equal(effects.some(isSend), false);
});

// Guards against answers that are joined by a router that doesn't know the version that began the stream.
test(
  'a stream that a caller resumes is not sent to any version while its own is unknown',
  TODO,
  () => {
    const router = createSampleRouter([sampleEntry('e1', OLD), sampleEntry('e2', NEW)]);
    const effects = router.request('r1', { streamId: 'elsewhere', resumeAfter: '3' });
    assert.equal(effects.some(isSend), false);
  },
);

test(
  'a stream that a caller resumes is not sent to the only version listed by a router that has just started',
  TODO,
  () => {
    const router = createSampleRouter([sampleEntry('e1', NEW), sampleEntry('e2', NEW)]);
    const effects = router.request('r1', { streamId: 'elsewhere', resumeAfter: '3' });
    assert.equal(effects.some(isSend), false);
  },
);
