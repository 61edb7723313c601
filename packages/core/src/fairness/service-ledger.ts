/**
 * Service ledger of one router: its own charges and the last received fleet totals. The functions update the ledger in place.
 *
 * The fleet total of an account is `others + own - contained`. The exchange updates `others` together with `contained`, the
 * part of `own` that is included in it, so that no service is counted twice even if a message arrives late.
 */
import { addTotals, maxTotals, subtractTotals } from './service-totals.js';
import type {
  Ledger,
  LedgerEntry,
  LedgerOptions,
  LedgerPool,
  Lift,
  ServiceTotals,
} from './types.js';

/** Creates an empty ledger. */
export function createLedger(options: LedgerOptions): Ledger {
  return { options, pools: new Map(), changedEntries: new Set(), changedPools: new Set() };
}

/** Returns the ledger's record of a pool, creating it if missing. */
export function getOrCreateLedgerPool(ledger: Ledger, pool: string): LedgerPool {
  let record = ledger.pools.get(pool);
  if (record === undefined) {
    record = { pool, virtualTimeMs: 0, accounts: new Map() };
    ledger.pools.set(pool, record);
  }
  return record;
}

function createEntry(pool: string, account: string): LedgerEntry {
  return {
    pool,
    account,
    own: { chargedMs: 0, refundedMs: 0 },
    contained: { chargedMs: 0, refundedMs: 0 },
    others: { chargedMs: 0, refundedMs: 0 },
    lift: { epoch: 0, liftMs: 0, share: 1 },
    configuredShare: undefined,
    waiting: false,
    waitingElsewhere: false,
  };
}

/** Returns the ledger entry of an account in a pool, creating it if missing. */
export function getOrCreateLedgerEntry(ledger: Ledger, pool: string, account: string): LedgerEntry {
  const { accounts } = getOrCreateLedgerPool(ledger, pool);
  let entry = accounts.get(account);
  if (entry === undefined) {
    entry = createEntry(pool, account);
    accounts.set(account, entry);
  }
  return entry;
}

/** Charges service to an account: the estimate at dispatch, or an overrun while a request runs. Values that are not positive are ignored. */
export function chargeService(ledger: Ledger, pool: string, account: string, ms: number): void {
  if (!(ms > 0)) return;
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  entry.own.chargedMs += ms;
  ledger.changedEntries.add(entry);
}

/** Refunds the unused part of a charged estimate. Values that are not positive are ignored. */
export function refundService(ledger: Ledger, pool: string, account: string, ms: number): void {
  if (!(ms > 0)) return;
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  entry.own.refundedMs += ms;
  ledger.changedEntries.add(entry);
}

/** Returns the fleet totals of an account as known to this router. */
export function computeFleetTotals(entry: LedgerEntry): ServiceTotals {
  const { own, contained, others } = entry;
  return {
    chargedMs: others.chargedMs + own.chargedMs - contained.chargedMs,
    refundedMs: others.refundedMs + own.refundedMs - contained.refundedMs,
  };
}

/** Returns the charged minus the refunded service of the whole fleet. */
function netServiceMs(entry: LedgerEntry): number {
  const { chargedMs, refundedMs } = computeFleetTotals(entry);
  return chargedMs - refundedMs;
}

/** Returns the account's virtual time without applying the lag bound. */
function rawVirtualTimeMs(entry: LedgerEntry): number {
  return netServiceMs(entry) / entry.lift.share + entry.lift.liftMs;
}

/** Applies the configured share. A change starts a new lift epoch that keeps the virtual time unchanged. */
function applyShare(ledger: Ledger, entry: LedgerEntry, share: number): void {
  if (entry.configuredShare === share) return;
  const isFirstShare = entry.configuredShare === undefined;
  entry.configuredShare = share;
  const { lift } = entry;
  if (lift.share === share) return;
  if (isFirstShare && lift.epoch === 0) {
    lift.share = share;
    return;
  }
  const timeMs = rawVirtualTimeMs(entry);
  lift.epoch += 1;
  lift.share = share;
  lift.liftMs = Math.ceil(timeMs - netServiceMs(entry) / share);
  ledger.changedEntries.add(entry);
}

/** Lifts the account's virtual time to at least `floorMs`. Returns the resulting virtual time. */
function liftToFloor(ledger: Ledger, entry: LedgerEntry, floorMs: number): number {
  const timeMs = rawVirtualTimeMs(entry);
  if (timeMs >= floorMs) return timeMs;
  entry.lift.liftMs = Math.ceil(entry.lift.liftMs + floorMs - timeMs);
  ledger.changedEntries.add(entry);
  return rawVirtualTimeMs(entry);
}

/** Returns a pool's virtual time: the largest start tag of any dispatched request. */
export function getPoolVirtualTimeMs(ledger: Ledger, pool: string): number {
  return ledger.pools.get(pool)?.virtualTimeMs ?? 0;
}

/**
 * Returns an account's virtual time. An account that lags its pool by more than the lag bound is permanently lifted to the
 * bound, so it cannot catch up on the service beyond the bound.
 */
export function getAccountVirtualTimeMs(
  ledger: Ledger,
  pool: string,
  account: string,
  share: number,
): number {
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  applyShare(ledger, entry, share);
  return liftToFloor(ledger, entry, getPoolVirtualTimeMs(ledger, pool) - ledger.options.lagBoundMs);
}

/** Advances a pool's virtual time to the start tag of a dispatched request; it never decreases. */
export function advancePoolVirtualTime(ledger: Ledger, pool: string, startTagMs: number): void {
  const record = getOrCreateLedgerPool(ledger, pool);
  const wholeMs = Math.floor(startTagMs);
  if (!(wholeMs > record.virtualTimeMs)) return;
  record.virtualTimeMs = wholeMs;
  ledger.changedPools.add(record);
}

/**
 * Lifts an account that becomes backlogged at this router to `floorMs` (by default the pool's virtual time), so that idle time
 * earns no credit. An account with requests already queued at this or another router is not lifted. Must be called before
 * `setWaiting`.
 */
export function liftOnBacklog(
  ledger: Ledger,
  pool: string,
  account: string,
  share: number,
  floorMs = getPoolVirtualTimeMs(ledger, pool),
): void {
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  applyShare(ledger, entry, share);
  if (entry.waiting || entry.waitingElsewhere) return;
  liftToFloor(ledger, entry, floorMs);
}

/** Records whether requests of an account are queued at this router. */
export function setWaiting(ledger: Ledger, pool: string, account: string, waiting: boolean): void {
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  if (entry.waiting === waiting) return;
  entry.waiting = waiting;
  ledger.changedEntries.add(entry);
}

/**
 * Merges a lift received from another router. Returns whether the lift changed. Shares are not compared in epoch 0, where
 * every router uses the share from its configuration.
 */
export function mergeLift(entry: LedgerEntry, received: Lift): boolean {
  const { lift } = entry;
  if (received.epoch < lift.epoch) return false;
  if (received.epoch === 0) {
    if (received.liftMs <= lift.liftMs) return false;
    lift.liftMs = received.liftMs;
    return true;
  }
  const isSameEpoch = received.epoch === lift.epoch;
  if (isSameEpoch && received.share < lift.share) return false;
  if (isSameEpoch && received.share === lift.share && received.liftMs <= lift.liftMs) return false;
  entry.lift = { ...received };
  return true;
}

/**
 * Applies fleet totals received from a home router. `contained` is the part of this router's own service that they include.
 * The resulting fleet totals never decrease: after a change of home, `others` starts from the totals known before.
 */
export function applyFleetTotals(
  entry: LedgerEntry,
  received: ServiceTotals,
  contained: ServiceTotals,
): void {
  const previousOthers = subtractTotals(addTotals(entry.others, contained), entry.contained);
  entry.others = maxTotals(received, previousOthers);
  entry.contained = contained;
}
