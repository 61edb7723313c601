import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PRISM_WORKS } from '../../src/scenarios/deployments.js';
import { createTopology } from '../../src/scenarios/topologies.js';
import { renderReport } from '../../src/report/index.js';
import { measureSeries } from '../../src/run/series.js';
import { countLateStarts, measureNodes, measurePool, summarise } from '../../src/run/summarise.js';
import type { RunRecords } from '../../src/run/summarise.js';
import type { RequestRecord } from '../../src/measure/index.js';

const createRecord = (fields: Partial<RequestRecord>): RequestRecord => ({
  id: 'x',
  logicalId: 'x',
  account: 'account-04',
  service: 'optics-7b',
  pool: 'engines',
  router: 'router',
  idempotent: true,
  sentMs: 0,
  endMs: 4000,
  outcome: 'completed',
  status: 200,
  answer: 'right',
  ...fields,
});

/** Records of a run in which two accounts of share 1 wait for 2 s while only one of them is served. */
const recorded: RunRecords = {
  topology: createTopology(PRISM_WORKS, 2),
  records: [
    createRecord({ id: 'a' }),
    createRecord({ id: 'b', account: 'account-05' }),
    createRecord({ id: 'c' }),
    createRecord({ id: 'd', outcome: 'refused', endMs: 4000 }),
  ],
  runs: [
    { id: 'a', backend: 'engine-1', startMs: 1000, endMs: 3000 },
    { id: 'b', backend: 'engine-1', startMs: 3000, endMs: 4000 },
    { id: 'c', backend: 'engine-1', startMs: 3500, endMs: 4000 },
  ],
  usage: {
    seconds: 4,
    nodes: [
      { name: 'r', role: 'router', controlBytes: 800, cpuSeconds: 0.2, peakRssBytes: 2 ** 20 },
      { name: 's', role: 'sidecar', controlBytes: 0, cpuSeconds: 0, peakRssBytes: 3 * 2 ** 20 },
    ],
    series: [
      { atMs: 0, controlBytes: 0 },
      { atMs: 4000, controlBytes: 800 },
    ],
  },
  load: { startMs: 0, endMs: 4000 },
};

test('measurePool computes the figures of a pool from records and journals', () => {
  const figures = measurePool('engines', recorded);
  assert.equal(figures.slots, 64);
  assert.equal(figures.fairnessGapSlotSeconds, 2);
  assert.deepEqual(figures.gapAccounts, ['account-04', 'account-05']);
  assert.equal(figures.largestRequestSlotSeconds, 2);
  // The refused request waits the whole time; 3.5 of 4 x 64 slot seconds are used.
  assert.equal(figures.strictUtilisation, 3.5 / 256);
});

test('countLateStarts counts starts from 2 s after the drain order to the end of the drain', () => {
  const createRun = (startMs: number, backend = 'engine-1') => ({
    id: 'x',
    backend,
    startMs,
    endMs: startMs + 1,
  });
  const drains = [{ backend: 'engine-1', startMs: 1000, endMs: 9000 }];
  const runs = [500, 2900, 3100, 8900, 9100].map((startMs) => createRun(startMs));
  assert.equal(countLateStarts([...runs, createRun(4000, 'engine-2')], drains), 2);
});

test('measureNodes reports usage per node and second', () => {
  assert.deepEqual(measureNodes(recorded.usage), {
    controlBytesPerNodePerSecond: 100,
    crossRegionBytes: null,
    controlCpuPercentOfCore: 2.5,
    peakRssMb: 3,
  });
});

test('the series and the report cover every second and account', () => {
  const series = measureSeries('engines', recorded);
  assert.deepEqual(series.servicePerAccount[3]?.slotSeconds, [0, 1, 1, 0.5]);
  assert.deepEqual(series.servicePerAccount[4]?.slotSeconds, [0, 0, 0, 1]);
  assert.equal(series.gapSlotSeconds.at(-1), 2);
  assert.deepEqual(series.controlBytesPerNodePerSecond, [{ atSecond: 4, value: 100 }]);

  const pools = [measurePool('engines', recorded)];
  const page = renderReport([
    {
      summary: {
        scenario: '<prism>',
        seed: 1,
        policy: 'fair',
        seconds: 4,
        routers: 2,
        backendServers: 11,
        accounts: 16,
        ...summarise(recorded, pools),
        firstTokenMs: { p50: null, p95: null, p99: null },
        addedFirstTokenMs: { p50: null, p99: null },
        configInForceMs: { p50: null, max: null },
      },
      details: {
        idle: { cpuPercentOfCore: 0, bytesPerNodePerSecond: 0 },
        controlBytesPerRouterPerSecond: 200,
        controlBytesPerSidecarPerSecond: 0,
        outcomes: [],
        pools,
        baselineFirstTokenMs: null,
        lateStarts: 0,
        notes: [],
      },
      series,
    },
  ]);
  assert.equal(page.match(/<svg/g)?.length, 4);
  assert.ok(page.includes('&lt;prism&gt;') && !page.includes('<prism>'));
  assert.ok(page.includes('account-16'));
});
