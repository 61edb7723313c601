/** Computes the time series of a run for charts. */
import {
  collectActivity,
  createServiceCurve,
  measureFairnessGap,
  measureUtilisation,
  totalAt,
} from '../measure/index.js';
import type { Interval, SlotInterval } from '../measure/index.js';
import { getAccountShares } from './summarise.js';
import type { RunRecords } from './summarise.js';
import type { RunSeries } from './types.js';

const MS_PER_SECOND = 1000;

/** Length of the sliding window of the fairness gap. */
const GAP_WINDOW_SECONDS = 5;

/** Returns the parts of the intervals that lie within a window. */
function clipIntervals<T extends Interval>(intervals: readonly T[], window: Interval): T[] {
  return intervals
    .filter(({ startMs, endMs }) => startMs < window.endMs && endMs > window.startMs)
    .map((interval) => ({
      ...interval,
      startMs: Math.max(interval.startMs, window.startMs),
      endMs: Math.min(interval.endMs, window.endMs),
    }));
}

function slotSecondsPerSecond(runs: readonly SlotInterval[], account: string, seconds: Interval[]) {
  const curve = createServiceCurve(runs.filter((run) => run.account === account));
  return seconds.map(
    ({ startMs, endMs }) => (totalAt(curve, endMs) - totalAt(curve, startMs)) / MS_PER_SECOND,
  );
}

function measureControlBytes({
  usage,
  load,
}: RunRecords): RunSeries['controlBytesPerNodePerSecond'] {
  return usage.series.slice(1).map(({ atMs, controlBytes }, i) => {
    const previous = usage.series[i] ?? { atMs, controlBytes };
    const seconds = (atMs - previous.atMs) / MS_PER_SECOND;
    return {
      atSecond: (atMs - load.startMs) / MS_PER_SECOND,
      value: (controlBytes - previous.controlBytes) / usage.nodes.length / seconds,
    };
  });
}

/** Computes the series of one pool for charts. */
export function measureSeries(pool: string, input: RunRecords): RunSeries {
  const { topology, load, records } = input;
  const { runs, waits } = collectActivity(pool, records, input.runs);
  const secondCount = Math.ceil((load.endMs - load.startMs) / MS_PER_SECOND);
  const seconds = Array.from({ length: secondCount }, (_, i) => ({
    startMs: load.startMs + i * MS_PER_SECOND,
    endMs: load.startMs + (i + 1) * MS_PER_SECOND,
  }));
  const shares = getAccountShares(topology);
  const slots = topology.backends
    .filter((backend) => backend.pool === pool)
    .reduce((sum, backend) => sum + backend.slots, 0);
  const measureGapBefore = ({ endMs }: Interval) => {
    const window = { startMs: endMs - GAP_WINDOW_SECONDS * MS_PER_SECOND, endMs };
    return measureFairnessGap({
      runs: clipIntervals(runs, window),
      waits: clipIntervals(waits, window),
      shares,
    }).slotSeconds;
  };
  const measureUtilisationIn = (second: Interval) => {
    const capacity = [{ ...second, slots }];
    const { busySlotSeconds, slotSeconds } = measureUtilisation({
      runs: clipIntervals(runs, second),
      waits: clipIntervals(waits, second),
      capacity,
    });
    return slotSeconds === 0 ? null : busySlotSeconds / slotSeconds;
  };
  return {
    servicePerAccount: topology.accounts.map(({ id }) => ({
      account: id,
      slotSeconds: slotSecondsPerSecond(runs, id, seconds),
    })),
    gapSlotSeconds: seconds.map(measureGapBefore),
    utilisation: seconds.map(measureUtilisationIn),
    controlBytesPerNodePerSecond: measureControlBytes(input),
  };
}
