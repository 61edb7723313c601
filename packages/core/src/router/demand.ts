/** Reports the waiting accounts of this router to sidecars while keeping the number of messages low. */
import { getAccountVirtualTimeMs, getPoolVirtualTimeMs } from '../fairness/index.js';
import type { DemandEntry } from '../protocol/index.js';
import { headRequest, poolQueue } from './queues.js';
import type { LinkedSidecar, RouterEffect, RouterState } from './types.js';

/** Minimum change of an account's virtual time that is reported, relative to the cost of its head request. */
const MIN_DRIFT_RATIO = 1;

/**
 * Number of sidecars that are notified immediately when an account becomes backlogged. A single grant serves the request, so notifying
 * all sidecars would cause most of their grants to be declined; notifying only one would make the account with the least virtual
 * time wait for the next free slot of that sidecar.
 */
const NEW_DEMAND_FAN_OUT = 4;

/** Maximum time until a waiting account is reported to every sidecar, in milliseconds. */
const MAX_UNREPORTED_MS = 100;

/** Reports new demand to a few sidecars of the pool in round-robin order, preferring those without reported demand. */
export function sendNewDemand(state: RouterState, pool: string, nowMs: number): RouterEffect[] {
  const candidates = sidecarsWithUnreportedDemand(state).filter((sidecar) => sidecar.pool === pool);
  const withoutDemand = candidates.filter((sidecar) => !hasReportedDemand(sidecar));
  const chosen = withoutDemand.length > 0 ? withoutDemand : candidates;
  const fanOut = Math.min(NEW_DEMAND_FAN_OUT, chosen.length);
  const start = state.nextFanOut;
  state.nextFanOut += fanOut;
  return Array.from({ length: fanOut }, (_, i) => chosen[(start + i) % chosen.length]).flatMap(
    (sidecar) => sendDemand(state, sidecar as LinkedSidecar, nowMs),
  );
}

/** Reports demand to every sidecar that lacks a waiting account and has had no demand message for `MAX_UNREPORTED_MS`. */
export function sendUnreportedDemand(state: RouterState, nowMs: number): RouterEffect[] {
  return sidecarsWithUnreportedDemand(state)
    .filter((sidecar) => nowMs - sidecar.lastDemandMs >= MAX_UNREPORTED_MS)
    .flatMap((sidecar) => sendDemand(state, sidecar, nowMs));
}

function sidecarsWithUnreportedDemand(state: RouterState): LinkedSidecar[] {
  return [...state.sidecars.values()].filter(
    (sidecar) => !sidecar.leaving && hasUnreportedDemand(state, sidecar),
  );
}

/** Returns whether any demand of this router is outstanding at the sidecar, as last reported. */
function hasReportedDemand({ sent }: LinkedSidecar): boolean {
  return [...sent.values()].some(({ waiting }) => waiting > 0);
}

/** Sends changed entries to each sidecar whose last demand message is at least one demand period old. */
export function refreshDemand(state: RouterState, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  state.sidecars.forEach((sidecar) => {
    if (sidecar.leaving || nowMs - sidecar.lastDemandMs < state.options.demandPeriodMs) return;
    effects.push(...sendDemand(state, sidecar, nowMs));
  });
  return effects;
}

/** Sends changed entries after a grant was used if the sidecar has no reported demand left. */
export function sendDemandAfterGrant(
  state: RouterState,
  sidecar: LinkedSidecar,
  nowMs: number,
): RouterEffect[] {
  return hasReportedDemand(sidecar) ? [] : sendDemand(state, sidecar, nowMs);
}

/** Updates the demand last reported to the sidecar by one of its own grants, which the sidecar counts itself. */
export function recordUsedGrant(sidecar: LinkedSidecar, account: string, virtualMs: number): void {
  const sent = sidecar.sent.get(account);
  if (!sent) return;
  sent.waiting -= 1;
  sent.virtualTimeMs += virtualMs;
}

/** Returns whether an account waits that was not reported to the sidecar, or whose reported requests were all granted. */
function hasUnreportedDemand(state: RouterState, sidecar: LinkedSidecar): boolean {
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

/** Returns the entries that differ enough from the last report, and empty entries for accounts that no longer wait. */
function changedEntries(state: RouterState, sidecar: LinkedSidecar): DemandEntry[] {
  const { accounts } = poolQueue(state, sidecar.pool);
  const entries: DemandEntry[] = [];
  accounts.forEach((queue, account) => {
    const entry = demandEntry(state, sidecar.pool, account, queue.length);
    if (entry && shouldSendEntry(sidecar, entry)) entries.push(entry);
  });
  sidecar.sent.forEach((_sent, account) => {
    if (!accounts.has(account)) entries.push(emptyEntry(account));
  });
  return entries;
}

function shouldSendEntry(sidecar: LinkedSidecar, entry: DemandEntry): boolean {
  const sent = sidecar.sent.get(entry.account);
  if (!sent || sent.waiting <= 0) return true;
  if (entry.waiting >= 2 * sent.waiting || sent.waiting >= 2 * entry.waiting) return true;
  const driftMs = Math.abs(entry.virtualTimeMs - sent.virtualTimeMs);
  return driftMs > (MIN_DRIFT_RATIO * entry.estimateMs) / entry.share;
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

function emptyEntry(account: string): DemandEntry {
  return { account, virtualTimeMs: 0, waiting: 0, estimateMs: 0, share: 1 };
}
