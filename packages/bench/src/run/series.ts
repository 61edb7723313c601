/** Values of each second of a run, for charts. */
import {
  collectActivity,
  createServiceCurve,
  measureFairnessGap,
  measureUtilisation,
  totalAt,
} from '../measure/index.js';
import type { Interval, SlotInterval } from '../measure/index.js';
import { sharesOf } from './summarise.js';
import type { RunRecords } from './summarise.js';
import type { RunSeries } from './types.js';

const MS_PER_SECOND = 1000;

/** Length of the windows in which the gap over time is measured. */
const GAP_WINDOW_SECONDS = 5;

function clip<T extends Interval>(intervals: readonly T[], window: Interval): T[] {
  return intervals
    .filter(({ startMs, endMs }) => startMs < window.endMs && endMs > window.startMs)
    .map((one) => ({
      ...one,
      startMs: Math.max(one.startMs, window.startMs),
      endMs: Math.min(one.endMs, window.endMs),
    }));
}

function servicePerSecond(runs: readonly SlotInterval[], account: string, seconds: Interval[]) {
  const curve = createServiceCurve(runs.filter((run) => run.account === account));
  return seconds.map(
    ({ startMs, endMs }) => (totalAt(curve, endMs) - totalAt(curve, startMs)) / MS_PER_SECOND,
  );
}

function controlSeries({ usage, load }: RunRecords): RunSeries['controlBytesPerNodePerSecond'] {
  return usage.series.slice(1).map(({ atMs, controlBytes }, i) => {
    const before = usage.series[i] ?? { atMs, controlBytes };
    const seconds = (atMs - before.atMs) / MS_PER_SECOND;
    return {
      atSecond: (atMs - load.startMs) / MS_PER_SECOND,
      value: (controlBytes - before.controlBytes) / usage.nodes.length / seconds,
    };
  });
}

/** Series of the pool that charts show. */
export function measureSeries(pool: string, input: RunRecords): RunSeries {
  const { topology, load, records } = input;
  const { runs, waits } = collectActivity(pool, records, input.runs);
  const count = Math.ceil((load.endMs - load.startMs) / MS_PER_SECOND);
  const seconds = Array.from({ length: count }, (_, i) => ({
    startMs: load.startMs + i * MS_PER_SECOND,
    endMs: load.startMs + (i + 1) * MS_PER_SECOND,
  }));
  const shares = sharesOf(topology);
  const slots = topology.backends
    .filter((backend) => backend.pool === pool)
    .reduce((sum, backend) => sum + backend.slots, 0);
  const gapUntil = ({ endMs }: Interval) => {
    const window = { startMs: endMs - GAP_WINDOW_SECONDS * MS_PER_SECOND, endMs };
    return measureFairnessGap({ runs: clip(runs, window), waits: clip(waits, window), shares })
      .slotSeconds;
  };
  const utilisationIn = (second: Interval) => {
    const capacity = [{ ...second, slots }];
    const { busySlotSeconds, slotSeconds } = measureUtilisation({
      runs: clip(runs, second),
      waits: clip(waits, second),
      capacity,
    });
    return slotSeconds === 0 ? null : busySlotSeconds / slotSeconds;
  };
  return {
    servicePerAccount: topology.accounts.map(({ id }) => ({
      account: id,
      slotSeconds: servicePerSecond(runs, id, seconds),
    })),
    gapSlotSeconds: seconds.map(gapUntil),
    utilisation: seconds.map(utilisationIn),
    controlBytesPerNodePerSecond: controlSeries(input),
  };
}
