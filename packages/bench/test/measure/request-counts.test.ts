import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  collectActivity,
  countRequests,
  parseMetrics,
  sumMetric,
} from '../../src/measure/index.js';
import type { BackendRun, RequestRecord } from '../../src/measure/index.js';

const IDS = ['r1', 'r1~1', 'r2', 'r3', 'r4~1'];

const recordFields = fc.record({
  idempotent: fc.boolean(),
  outcome: fc.constantFrom('completed' as const, 'refused' as const, 'failed' as const),
  answer: fc.constantFrom('right' as const, 'wrong' as const, 'incomplete' as const, undefined),
});
const backendRun = fc.record({
  id: fc.constantFrom(...IDS),
  backend: fc.constant('b1'),
  startMs: fc.nat(50),
  endMs: fc.integer({ min: 50, max: 90 }),
});

function toRecords(fields: Pick<RequestRecord, 'idempotent' | 'outcome' | 'answer'>[]) {
  return fields.map((field, i): RequestRecord => ({
    ...field,
    id: IDS[i] as string,
    logicalId: (IDS[i] as string).split('~')[0] as string,
    account: 'a',
    service: 's',
    pool: 'p',
    router: 'router',
    sentMs: i,
    endMs: 95,
    status: 200,
  }));
}

/** Reference implementation: searches all records and runs for each count. */
function countBySearch(records: RequestRecord[], runs: BackendRun[]) {
  const logicalIds = new Set(
    records.filter((record) => !record.idempotent).map((record) => record.logicalId),
  );
  const runCount = (logicalId: string) =>
    runs.filter((run) =>
      records.some(
        (record) => !record.idempotent && record.id === run.id && record.logicalId === logicalId,
      ),
    ).length;
  return {
    ranTwice: [...logicalIds].filter((logicalId) => runCount(logicalId) >= 2).length,
    falseRefusals: records.filter(
      (record) => record.outcome === 'refused' && runs.some((run) => run.id === record.id),
    ).length,
    wrongAnswers: records.filter((record) => record.answer === 'wrong').length,
    incompleteAnswers: records.filter((record) => record.answer === 'incomplete').length,
  };
}

test('counts equal those of a search through records and journals', () => {
  const fieldsArbitrary = fc.array(recordFields, { maxLength: IDS.length });
  fc.assert(
    fc.property(fieldsArbitrary, fc.array(backendRun, { maxLength: 8 }), (fields, runs) => {
      const records = toRecords(fields);
      const counts = countRequests(records, runs);
      assert.deepEqual({ ...counts, ...countBySearch(records, runs) }, counts);
      assert.equal(counts.completed + counts.refused + counts.failed, counts.sent);
    }),
    { seed: 14, numRuns: 300 },
  );
});

test('a request waits until its first run, or until its end if it never runs', () => {
  const records = toRecords([
    { idempotent: true, outcome: 'completed' },
    { idempotent: true, outcome: 'refused' },
  ]);
  const runs = [30, 20].map((startMs) => ({ id: 'r1', backend: 'b', startMs, endMs: 60 }));
  assert.deepEqual(
    collectActivity('p', records, runs).waits.map((wait) => [wait.startMs, wait.endMs]),
    [
      [0, 20],
      [1, 95],
    ],
  );
});

test('sums the samples of a metrics page by name and labels', () => {
  const page = [
    '# TYPE link_bytes counter',
    'link_bytes{peer="a \\"b\\"",role="router"} 12',
    'link_bytes{role="sidecar"} 3.5e2',
    'up 1',
    '',
  ].join('\n');
  const samples = parseMetrics(page);
  assert.equal(sumMetric(samples, 'link_bytes'), 362);
  assert.equal(sumMetric(samples, 'link_bytes', { role: 'router' }), 12);
  assert.equal(sumMetric(samples, 'absent'), 0);
});
