/** Queues of waiting requests by pool and client account. */
import { getAccountVirtualTimeMs, liftOnBacklog, setWaiting } from '../fairness/index.js';
import { liftFloorMs } from './pool-time-samples.js';
import type { PoolQueue, RouterRequest, RouterState } from './types.js';

/** Returns the queue of a pool, creating it on first use. */
export function poolQueue(state: RouterState, pool: string): PoolQueue {
  const existing = state.pools.get(pool);
  if (existing) return existing;
  const created: PoolQueue = {
    accounts: new Map(),
    outstandingMs: new Map(),
    pastTimes: [],
  };
  state.pools.set(pool, created);
  return created;
}

/** Returns the number of waiting requests of an account in a pool. */
export function waitingCount(state: RouterState, pool: string, account: string): number {
  return state.pools.get(pool)?.accounts.get(account)?.length ?? 0;
}

/** Returns whether any request waits in the pool. */
export function poolHasWaiting(state: RouterState, pool: string): boolean {
  return (state.pools.get(pool)?.accounts.size ?? 0) > 0;
}

/** Adds a request to its queue; `atFront` is set for a request that was queued before. */
export function enqueue(state: RouterState, req: RouterRequest, atFront: boolean): void {
  const pending = poolQueue(state, req.pool);
  const { accounts } = pending;
  const queue = accounts.get(req.account);
  if (!queue) {
    liftOnBacklog(state.ledger, req.pool, req.account, req.share, liftFloorMs(pending));
    setWaiting(state.ledger, req.pool, req.account, true);
    accounts.set(req.account, [req.request]);
  } else if (atFront) {
    queue.unshift(req.request);
  } else {
    queue.push(req.request);
  }
}

/** Removes a request from any position of its queue. */
export function dequeue(state: RouterState, req: RouterRequest): void {
  const { accounts } = poolQueue(state, req.pool);
  const queue = accounts.get(req.account);
  if (!queue) return;
  const index = queue.indexOf(req.request);
  if (index >= 0) queue.splice(index, 1);
  if (queue.length > 0) return;
  accounts.delete(req.account);
  setWaiting(state.ledger, req.pool, req.account, false);
}

/** Returns the oldest waiting request of an account in a pool. */
export function headRequest(
  state: RouterState,
  pool: string,
  account: string,
): RouterRequest | null {
  const request = state.pools.get(pool)?.accounts.get(account)?.[0];
  return (request !== undefined && state.requests.get(request)) || null;
}

/** Returns the head request of the waiting account with the least virtual time in the pool. */
export function leastServedHead(state: RouterState, pool: string): RouterRequest | null {
  let leastServed: RouterRequest | null = null;
  let minVirtualMs = Infinity;
  state.pools.get(pool)?.accounts.forEach((_queue, account) => {
    const head = headRequest(state, pool, account);
    if (!head) return;
    const virtualMs = getAccountVirtualTimeMs(state.ledger, pool, account, head.share);
    if (virtualMs >= minVirtualMs) return;
    leastServed = head;
    minVirtualMs = virtualMs;
  });
  return leastServed;
}

/** Adjusts the account's charge for unfinished attempts, in milliseconds of slot time; negative when an attempt ends. */
export function addOutstandingMs(
  state: RouterState,
  pool: string,
  account: string,
  changeMs: number,
): void {
  const totalsMs = poolQueue(state, pool).outstandingMs;
  const totalMs = (totalsMs.get(account) ?? 0) + changeMs;
  if (totalMs > 0) totalsMs.set(account, totalMs);
  else totalsMs.delete(account);
}

/** Returns the account's charge for unfinished attempts of this router, in milliseconds of slot time. */
export function outstandingMs(state: RouterState, pool: string, account: string): number {
  return state.pools.get(pool)?.outstandingMs.get(account) ?? 0;
}
