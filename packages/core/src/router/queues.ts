/** Queues of waiting requests per pool and client account. */
import { getAccountVirtualTimeMs, liftOnBacklog, setWaiting } from '../fairness/index.js';
import { liftFloorMs } from './pool-times.js';
import type { PoolQueue, RouterRequest, RouterState } from './types.js';

/** The queue of a pool, created on first use. */
export function poolQueue(state: RouterState, pool: string): PoolQueue {
  const known = state.pools.get(pool);
  if (known) return known;
  const created: PoolQueue = {
    accounts: new Map(),
    outstandingMs: new Map(),
    pastTimes: [],
  };
  state.pools.set(pool, created);
  return created;
}

/** Number of requests of an account that wait in a pool. */
export function waitingCount(state: RouterState, pool: string, account: string): number {
  return state.pools.get(pool)?.accounts.get(account)?.length ?? 0;
}

/** Whether any request waits in the pool. */
export function poolHasWaiting(state: RouterState, pool: string): boolean {
  return (state.pools.get(pool)?.accounts.size ?? 0) > 0;
}

/** Puts a request into its queue; `front` for one that was refused as not run. */
export function enqueue(state: RouterState, req: RouterRequest, front: boolean): void {
  const waiting = poolQueue(state, req.pool);
  const { accounts } = waiting;
  const queue = accounts.get(req.account);
  if (!queue) {
    liftOnBacklog(state.ledger, req.pool, req.account, req.share, liftFloorMs(waiting));
    setWaiting(state.ledger, req.pool, req.account, true);
    accounts.set(req.account, [req.request]);
  } else if (front) {
    queue.unshift(req.request);
  } else {
    queue.push(req.request);
  }
}

/** Takes one request out of its queue, wherever it stands. */
export function dequeue(state: RouterState, req: RouterRequest): void {
  const { accounts } = poolQueue(state, req.pool);
  const queue = accounts.get(req.account);
  if (!queue) return;
  const at = queue.indexOf(req.request);
  if (at >= 0) queue.splice(at, 1);
  if (queue.length > 0) return;
  accounts.delete(req.account);
  setWaiting(state.ledger, req.pool, req.account, false);
}

/** First request of the account in the pool's queue. */
export function headRequest(
  state: RouterState,
  pool: string,
  account: string,
): RouterRequest | null {
  const request = state.pools.get(pool)?.accounts.get(account)?.[0];
  return (request !== undefined && state.requests.get(request)) || null;
}

/** Head request of the pool's waiting account with the least virtual time. */
export function leastServedHead(state: RouterState, pool: string): RouterRequest | null {
  let best: RouterRequest | null = null;
  let bestMs = Infinity;
  state.pools.get(pool)?.accounts.forEach((_queue, account) => {
    const head = headRequest(state, pool, account);
    if (!head) return;
    const tagMs = getAccountVirtualTimeMs(state.ledger, pool, account, head.share);
    if (tagMs >= bestMs) return;
    best = head;
    bestMs = tagMs;
  });
  return best;
}

/** Adds to what the account is charged for attempts that have not ended; negative when one ends. */
export function addOutstanding(
  state: RouterState,
  pool: string,
  account: string,
  addedMs: number,
): void {
  const sums = poolQueue(state, pool).outstandingMs;
  const sumMs = (sums.get(account) ?? 0) + addedMs;
  if (sumMs > 0) sums.set(account, sumMs);
  else sums.delete(account);
}

/** What the account is charged here for attempts that have not ended. */
export function outstandingMs(state: RouterState, pool: string, account: string): number {
  return state.pools.get(pool)?.outstandingMs.get(account) ?? 0;
}
