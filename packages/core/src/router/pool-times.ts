/** Remembers the pools' virtual times of a while ago. */
import { getPoolVirtualTimeMs } from '../fairness/index.js';
import type { PoolQueue, RouterState } from './types.js';

/**
 * An account that becomes backlogged is lifted to its pool's virtual time of this long ago, in milliseconds. Charges of other routers
 * are not known here for about three exchange periods; a lift from totals without them would overshoot by them, and lifts are never
 * taken back.
 */
const LIFT_DELAY_MS = 2000;

/** Time between two samples, in milliseconds. */
const SAMPLE_PERIOD_MS = 250;

/** Samples the virtual time of every pool that is due. */
export function samplePoolTimes(state: RouterState, nowMs: number): void {
  state.pools.forEach((queue, pool) => {
    const latest = queue.pastTimes.at(-1);
    if (latest && nowMs - latest.atMs < SAMPLE_PERIOD_MS) return;
    queue.pastTimes.push({ atMs: nowMs, virtualTimeMs: getPoolVirtualTimeMs(state.ledger, pool) });
    while (isOverdue(queue, nowMs)) queue.pastTimes.shift();
  });
}

/** Virtual time that an account of the pool is lifted to when it becomes backlogged. */
export function liftFloorMs(queue: PoolQueue): number {
  return queue.pastTimes[0]?.virtualTimeMs ?? 0;
}

/** Whether a later sample is old enough too. */
function isOverdue({ pastTimes }: PoolQueue, nowMs: number): boolean {
  const second = pastTimes[1];
  return second !== undefined && nowMs - second.atMs >= LIFT_DELAY_MS;
}
