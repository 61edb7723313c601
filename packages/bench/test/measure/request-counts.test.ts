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

const record = fc.record({
  idempotent: fc.boolean(),
  outcome: fc.constantFrom('completed' as const, 'refused' as const, 'failed' as const),
  answer: fc.constantFrom('right' as const, 'wrong' as const, 'incomplete' as const, undefined),
});
const run = fc.record({
  id: fc.constantFrom(...IDS),
  backend: fc.constant('b1'),
  startMs: fc.nat(50),
  endMs: fc.integer({ min: 50, max: 90 }),
});

function toRecords(drawn: Pick<RequestRecord, 'idempotent' | 'outcome' | 'answer'>[]) {
  return drawn.map((one, i): RequestRecord => ({
    ...one,
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

function naive(records: RequestRecord[], runs: BackendRun[]) {
  const requests = new Set(records.filter((one) => !one.idempotent).map((one) => one.logicalId));
  const timesRun = (logicalId: string) =>
    runs.filter((one) =>
      records.some((rec) => !rec.idempotent && rec.id === one.id && rec.logicalId === logicalId),
    ).length;
  return {
    ranTwice: [...requests].filter((logicalId) => timesRun(logicalId) >= 2).length,
    falseRefusals: records.filter(
      (rec) => rec.outcome === 'refused' && runs.some((one) => one.id === rec.id),
    ).length,
    wrongAnswers: records.filter((rec) => rec.answer === 'wrong').length,
    incompleteAnswers: records.filter((rec) => rec.answer === 'incomplete').length,
  };
}

test('verdicts equal a search of records and journals', () => {
  const drawn = fc.array(record, { maxLength: IDS.length });
  fc.assert(
    fc.property(drawn, fc.array(run, { maxLength: 8 }), (fields, runs) => {
      const records = toRecords(fields);
      const verdicts = countRequests(records, runs);
      assert.deepEqual({ ...verdicts, ...naive(records, runs) }, verdicts);
      assert.equal(verdicts.completed + verdicts.refused + verdicts.failed, verdicts.sent);
    }),
    { seed: 14, numRuns: 300 },
  );
});

test('a request waits until its first run, or its end', () => {
  const records = toRecords([
    { idempotent: true, outcome: 'completed' },
    { idempotent: true, outcome: 'refused' },
  ]);
  const runs = [30, 20].map((startMs) => ({ id: 'r1', backend: 'b', startMs, endMs: 60 }));
  assert.deepEqual(
    collectActivity('p', records, runs).waits.map((one) => [one.startMs, one.endMs]),
    [
      [0, 20],
      [1, 95],
    ],
  );
});

test('a metrics page is summed by name and labels', () => {
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
