/** Tells sidecars who waits at this router, with few messages. */
import { getAccountVirtualTimeMs, getPoolVirtualTimeMs } from '../fairness/index.js';
import type { DemandEntry } from '../protocol/index.js';
import { headRequest, poolQueue } from './queues.js';
import type { RouterEffect, RouterState, LinkedSidecar } from './types.js';

/** Virtual times that differ by less than this part of the head's cost are not worth a message. */
const WORTHWHILE_PART = 1;

/**
 * Sidecars that are told at once of an account that began to wait. One grant serves the request, so telling all at once would have
 * most of their grants declined; telling one would have an account of least virtual time wait for that sidecar's next slot.
 */
const URGENT_FAN_OUT = 4;

/** Longest time until every sidecar knows of an account that waits, in milliseconds. */
const UNTOLD_PERIOD_MS = 100;

/** Tells a few sidecars of the pool, in turn, of an account that began to wait; those that know of no demand here come first. */
export function sendUrgentDemand(state: RouterState, pool: string, nowMs: number): RouterEffect[] {
  const uninformed = uninformedSidecars(state).filter((sidecar) => sidecar.pool === pool);
  const unaware = uninformed.filter((sidecar) => !knowsOfDemand(sidecar));
  const chosen = unaware.length > 0 ? unaware : uninformed;
  const fanOut = Math.min(URGENT_FAN_OUT, chosen.length);
  const first = state.nextFanOut;
  state.nextFanOut += fanOut;
  return Array.from({ length: fanOut }, (_, i) => chosen[(first + i) % chosen.length]).flatMap(
    (sidecar) => sendDemand(state, sidecar as LinkedSidecar, nowMs),
  );
}

/** Tells every sidecar of accounts that have waited unknown to it. */
export function sendUntoldDemand(state: RouterState, nowMs: number): RouterEffect[] {
  return uninformedSidecars(state)
    .filter((sidecar) => nowMs - sidecar.lastDemandMs >= UNTOLD_PERIOD_MS)
    .flatMap((sidecar) => sendDemand(state, sidecar, nowMs));
}

function uninformedSidecars(state: RouterState): LinkedSidecar[] {
  return [...state.sidecars.values()].filter(
    (sidecar) => !sidecar.leaving && isUninformed(state, sidecar),
  );
}

/** Whether the sidecar believes that requests wait here. */
function knowsOfDemand({ sent }: LinkedSidecar): boolean {
  return [...sent.values()].some(({ waiting }) => waiting > 0);
}

/** Sends what has changed to each sidecar whose last demand message is a period old. */
export function refreshDemand(state: RouterState, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  state.sidecars.forEach((sidecar) => {
    if (sidecar.leaving || nowMs - sidecar.lastDemandMs < state.options.demandPeriodMs) return;
    effects.push(...sendDemand(state, sidecar, nowMs));
  });
  return effects;
}

/** Updates the sidecar after one of its grants was used, when its picture has become wrong. */
export function demandAfterGrant(
  state: RouterState,
  sidecar: LinkedSidecar,
  nowMs: number,
): RouterEffect[] {
  return knowsOfDemand(sidecar) ? [] : sendDemand(state, sidecar, nowMs);
}

/** Keeps the picture of what the sidecar believes in step with its own grants. */
export function noteGrant(sidecar: LinkedSidecar, account: string, addedMs: number): void {
  const sent = sidecar.sent.get(account);
  if (!sent) return;
  sent.waiting -= 1;
  sent.virtualTimeMs += addedMs;
}

/** Whether an account waits of which the sidecar does not know, or believes that all its requests were granted. */
function isUninformed(state: RouterState, sidecar: LinkedSidecar): boolean {
  const accounts = [...poolQueue(state, sidecar.pool).accounts.keys()];
  return accounts.some((account) => (sidecar.sent.get(account)?.waiting ?? 0) <= 0);
}

function sendDemand(state: RouterState, sidecar: LinkedSidecar, nowMs: number): RouterEffect[] {
  const entries = changedEntries(state, sidecar);
  if (entries.length === 0) return [];
  sidecar.lastDemandMs = nowMs;
  entries.forEach((entry) => {
    if (entry.waiting === 0) sidecar.sent.delete(entry.account);
    else sidecar.sent.set(entry.account, entry);
  });
  const message = {
    kind: 'demand' as const,
    full: false,
    poolVirtualTimeMs: Math.round(getPoolVirtualTimeMs(state.ledger, sidecar.pool)),
    entries: entries.map((entry) => ({ ...entry })),
  };
  return [{ kind: 'send', link: sidecar.link, message }];
}

function changedEntries(state: RouterState, sidecar: LinkedSidecar): DemandEntry[] {
  const { accounts } = poolQueue(state, sidecar.pool);
  const entries: DemandEntry[] = [];
  accounts.forEach((queue, account) => {
    const entry = demandEntry(state, sidecar.pool, account, queue.length);
    if (entry && isWorthSending(sidecar, entry)) entries.push(entry);
  });
  sidecar.sent.forEach((_sent, account) => {
    if (!accounts.has(account)) entries.push(goneEntry(account));
  });
  return entries;
}

function isWorthSending(sidecar: LinkedSidecar, entry: DemandEntry): boolean {
  const sent = sidecar.sent.get(entry.account);
  if (!sent || sent.waiting <= 0) return true;
  if (entry.waiting >= 2 * sent.waiting || sent.waiting >= 2 * entry.waiting) return true;
  const driftMs = Math.abs(entry.virtualTimeMs - sent.virtualTimeMs);
  return driftMs > (WORTHWHILE_PART * entry.estimateMs) / entry.share;
}

function demandEntry(
  state: RouterState,
  pool: string,
  account: string,
  waiting: number,
): DemandEntry | null {
  const head = headRequest(state, pool, account);
  if (!head) return null;
  return {
    account,
    virtualTimeMs: Math.round(getAccountVirtualTimeMs(state.ledger, pool, account, head.share)),
    waiting,
    estimateMs: Math.round(head.estimateMs),
    share: head.share,
  };
}

function goneEntry(account: string): DemandEntry {
  return { account, virtualTimeMs: 0, waiting: 0, estimateMs: 0, share: 1 };
}
