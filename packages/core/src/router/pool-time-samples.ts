/** Samples of the pools' virtual times over the last seconds. */
import { getPoolVirtualTimeMs } from '../fairness/index.js';
import type { PoolQueue, RouterState } from './types.js';

/**
 * Age of the pool's virtual time to which an account is lifted when it becomes backlogged, in milliseconds. Charges of other routers
 * arrive about three exchange periods late; a lift computed without them would be too high by their amount, and a lift is never
 * reverted.
 */
const LIFT_DELAY_MS = 2000;

/** Interval between two samples, in milliseconds. */
const SAMPLE_PERIOD_MS = 250;

/** Samples the virtual time of every pool whose last sample is at least one interval old, and drops obsolete samples. */
export function samplePoolTimes(state: RouterState, nowMs: number): void {
  state.pools.forEach((queue, pool) => {
    const latest = queue.pastTimes.at(-1);
    if (latest && nowMs - latest.atMs < SAMPLE_PERIOD_MS) return;
    queue.pastTimes.push({ atMs: nowMs, virtualTimeMs: getPoolVirtualTimeMs(state.ledger, pool) });
    while (isOldestSampleObsolete(queue, nowMs)) queue.pastTimes.shift();
  });
}

/** Returns the minimum virtual time of an account that becomes backlogged in the pool, in milliseconds per share. */
export function liftFloorMs(queue: PoolQueue): number {
  return queue.pastTimes[0]?.virtualTimeMs ?? 0;
}

/** Returns whether the second-oldest sample has reached the lift delay too, so that the oldest is no longer needed. */
function isOldestSampleObsolete({ pastTimes }: PoolQueue, nowMs: number): boolean {
  const second = pastTimes[1];
  return second !== undefined && nowMs - second.atMs >= LIFT_DELAY_MS;
}
