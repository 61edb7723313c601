/** Slot usage and waiting times of a pool, derived from records and journals. */
import type { BackendRun, RequestRecord, SlotInterval } from './types.js';

/** Intervals in which requests occupied slots of a pool or waited for one. */
export interface PoolActivity {
  runs: SlotInterval[];
  waits: SlotInterval[];
}

function earliestStarts(runs: readonly BackendRun[]): Map<string, number> {
  const starts = new Map<string, number>();
  runs.forEach(({ id, startMs }) => {
    starts.set(id, Math.min(startMs, starts.get(id) ?? Infinity));
  });
  return starts;
}

/** Collects the runs and waits of one pool. A request waits from sending to its first run, or to its end if it never ran. */
export function collectActivity(
  pool: string,
  records: readonly RequestRecord[],
  runs: readonly BackendRun[],
): PoolActivity {
  const poolRecords = records.filter((record) => record.pool === pool);
  const accounts = new Map(poolRecords.map((record) => [record.id, record.account]));
  const starts = earliestStarts(runs);
  const poolRuns = runs.flatMap((run) => {
    const account = accounts.get(run.id);
    return account === undefined ? [] : [{ ...run, account }];
  });
  return {
    runs: poolRuns.map(({ account, startMs, endMs }) => ({ account, startMs, endMs })),
    waits: poolRecords.map(({ id, account, sentMs, endMs }) => ({
      account,
      startMs: sentMs,
      endMs: Math.min(starts.get(id) ?? endMs, endMs),
    })),
  };
}
