/** Slot use and waiting times of a pool, from records and journals. */
import type { BackendRun, RequestRecord, SlotInterval } from './types.js';

/** What happened in one pool. */
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

/** Runs and waits of one pool. A request waits from its sending to its first run, or to its end when it never ran. */
export function collectActivity(
  pool: string,
  records: readonly RequestRecord[],
  runs: readonly BackendRun[],
): PoolActivity {
  const ofPool = records.filter((rec) => rec.pool === pool);
  const accounts = new Map(ofPool.map((rec) => [rec.id, rec.account]));
  const starts = earliestStarts(runs);
  const runsOfPool = runs.flatMap((run) => {
    const account = accounts.get(run.id);
    return account === undefined ? [] : [{ ...run, account }];
  });
  return {
    runs: runsOfPool.map(({ account, startMs, endMs }) => ({ account, startMs, endMs })),
    waits: ofPool.map(({ id, account, sentMs, endMs }) => ({
      account,
      startMs: sentMs,
      endMs: Math.min(starts.get(id) ?? endMs, endMs),
    })),
  };
}
