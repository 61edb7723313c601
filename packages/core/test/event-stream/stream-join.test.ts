/** Guards against runs that are joined with events repeated, missing or foreign. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  createEventSplitter,
  createStreamJoin,
  StreamFault,
} from '../../src/event-stream/index.js';
import type { StreamJoin } from '../../src/event-stream/index.js';

const HEAD = { status: 200, contentType: 'text/event-stream' };
const formatEvent = (id: string) => `id: ${id}\ndata: x\n\n`;

/** Adds the events of a run up to the first fault, which it returns. */
function addRun(
  join: StreamJoin,
  text: string,
  onAccepted: (id: string | undefined) => void = () => undefined,
): StreamFault | undefined {
  const headFault = join.beginRun(HEAD);
  if (headFault !== undefined) return headFault;
  const { blocks } = createEventSplitter().push(Buffer.from(text, 'latin1'))!;
  for (const block of blocks) {
    const fault = join.accept(block);
    if (fault !== undefined) return fault;
    onAccepted(block.id);
  }
  return undefined;
}

const addIds = (join: StreamJoin, ...ids: string[]) => addRun(join, ids.map(formatEvent).join(''));

function createJoin(resumeAfter?: string, isResumable = true): StreamJoin {
  return createStreamJoin({ isResumable, resumeAfter });
}

/** Ids of a first run, ids of a second one, and the expected fault. */
const JOINS: [string[], string[], StreamFault | undefined][] = [
  [['1', '2'], ['3', '4'], undefined],
  [['1', '2'], ['2'], StreamFault.NotIncreasing],
  [['9', '10'], ['9'], StreamFault.NotIncreasing],
  [['9', '10'], ['11'], undefined],
  [['9', '010'], ['0011'], undefined],
  [['1', '2'], ['4'], StreamFault.EventsMissing],
  [['1', '3'], ['9'], undefined],
  [['1'], ['4'], undefined],
  [['1'], ['4', '9'], undefined],
  [['1'], ['4', '5'], StreamFault.EventsMissing],
  [['99999999999999999998', '99999999999999999999'], ['100000000000000000000'], undefined],
  [['99999999999999999999'], ['99999999999999999998'], StreamFault.NotIncreasing],
  [['7'.repeat(5000)], ['7'.repeat(5000)], StreamFault.NotIncreasing],
  [['a', 'b'], ['c', 'd'], undefined],
  [['a', 'b'], ['a'], StreamFault.NotIncreasing],
  [['a', 'b'], ['c', 'a'], StreamFault.NotIncreasing],
  [['1', '2'], ['\u0001'], StreamFault.MalformedId],
];

JOINS.forEach(([first, second, fault]) => {
  test(`the ids ${second.join()} behind ${first.join()}: ${fault ?? 'joined'}`, () => {
    const join = createJoin();
    assert.equal(addIds(join, ...first), undefined);
    assert.equal(addIds(join, ...second), fault);
  });
});

test('what the caller resumes is judged as a join of runs, with any head and any proof of its end', () => {
  assert.equal(addIds(createJoin('3'), '4', '5'), undefined);
  assert.equal(addIds(createJoin('3'), '3'), StreamFault.NotIncreasing);
  assert.equal(addRun(createJoin('3'), 'data: x\n\n'), StreamFault.WithoutId);
  const join = createJoin('3');
  assert.equal(join.beginRun({ status: 204, contentType: undefined }), undefined);
  assert.equal(join.endRun(), undefined);
});

test('ids of a stream that is never resumed are passed on as they are', () => {
  assert.equal(addIds(createJoin(undefined, false), '3', '1', '\u0001'), undefined);
  assert.equal(addIds(createJoin('3', false), '1'), undefined);
});

test('only a response of the same status and content type continues a stream', () => {
  const heads: [number, string | undefined, StreamFault | undefined][] = [
    [200, 'Text/Event-Stream; charset=utf-8', undefined],
    [200, undefined, StreamFault.NoContinuation],
    [200, 'application/json', StreamFault.NoContinuation],
    [201, 'text/event-stream', StreamFault.NoContinuation],
    [204, 'text/event-stream', StreamFault.NoContinuation],
  ];
  heads.forEach(([status, contentType, fault]) => {
    const join = createJoin();
    addIds(join, '1');
    assert.equal(join.beginRun({ status, contentType }), fault);
  });
});

test('a run without events does not show that a stream has ended', () => {
  const join = createJoin();
  addIds(join, '1');
  join.beginRun(HEAD);
  assert.equal(join.endRun(), StreamFault.EndNotProven);
  assert.equal(addIds(join, '2'), undefined);
  assert.equal(join.endRun(), undefined);
});

test('tells events from other text', () => {
  const texts: [string, StreamFault | undefined][] = [
    ['data\n\n', undefined],
    [':comment\r\n\r\n', undefined],
    ['\n\n\n', undefined],
    ['weight-versions: 3\nid: 1\ndata: a: b\n\n', undefined],
    ['\u00ef\u00bb\u00bfid: 1\ndata: x\n\n', undefined],
    ['HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n', StreamFault.MalformedEvent],
    ['id: 1\ndata: x\nHTTP/1.1 200 OK\r\n\r\n', StreamFault.MalformedEvent],
    ['Content-Length: 5\r\n\r\n', StreamFault.MalformedEvent],
    ['{"error": 1}\n\n', StreamFault.MalformedEvent],
    ['<html>\n\n', StreamFault.MalformedEvent],
  ];
  texts.forEach(([text, fault]) => assert.equal(addRun(createJoin(), text), fault, text));
});

// Guards against any sequence of runs, of which some repeat or leave out events, that is passed on as one stream.
test('the events accepted over any runs are those of one stream without gaps', () => {
  const run = fc.record({ from: fc.nat(12), length: fc.integer({ min: 1, max: 5 }) });
  const property = fc.property(fc.array(run, { maxLength: 6 }), (runs) => {
    const join = createJoin();
    const accepted = [1, 2];
    addIds(join, '1', '2');
    runs.forEach(({ from, length }) => {
      const ids = Array.from({ length }, (_none, index) => from + index);
      const text = ids.map((id) => formatEvent(String(id))).join('');
      addRun(join, text, (id) => accepted.push(Number(id)));
    });
    accepted.forEach((id, index) => assert.equal(id, index + 1));
  });
  fc.assert(property, { seed: 20261205, numRuns: 500 });
});

// Guards against an id whose conversion to a number takes the event loop longer the more digits it has.
test('ids of more digits than any counter has are compared as texts', (t) => {
  const convert = t.mock.method(globalThis, 'BigInt');
  const join = createJoin();
  assert.equal(addIds(join, '8'.repeat(100), '9'.repeat(101), '1'.repeat(200_000)), undefined);
  const digits = convert.mock.calls.map(({ arguments: [id] }) => String(id).length);
  assert.ok(
    digits.every((count) => count <= 100),
    digits.join(),
  );
});

// Guards against the cost of judging an event's id more than once, or at all where no other server may continue the stream.
test('converts the id of an event once, and none of a stream that is never resumed', (t) => {
  const convert = t.mock.method(globalThis, 'BigInt');
  assert.equal(addIds(createJoin(undefined, false), '1', '2', '3'), undefined);
  assert.equal(convert.mock.callCount(), 0);
  const join = createJoin();
  assert.equal(addIds(join, '1', '2', '3'), undefined);
  assert.equal(addIds(join, '4', '5'), undefined);
  assert.equal(convert.mock.callCount(), 5);
});
