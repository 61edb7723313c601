/**
 * Service ledger of one router: what it charged itself, plus the fleet's totals as last heard. Functions update the ledger
 * in place.
 *
 * The fleet's total of an account is `others + own - contained`: the exchange sets `others` together with the part of `own`
 * that it contains, so nothing counts twice however late a message is.
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

/** The pool's record, created when missing. */
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

/** The account's record in the pool, created when missing. */
export function getOrCreateLedgerEntry(ledger: Ledger, pool: string, account: string): LedgerEntry {
  const { accounts } = getOrCreateLedgerPool(ledger, pool);
  let entry = accounts.get(account);
  if (entry === undefined) {
    entry = createEntry(pool, account);
    accounts.set(account, entry);
  }
  return entry;
}

/** Charges service to the account: an estimate at dispatch, or overrun while it runs. Negative values are ignored. */
export function chargeService(ledger: Ledger, pool: string, account: string, ms: number): void {
  if (!(ms > 0)) return;
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  entry.own.chargedMs += ms;
  ledger.changedEntries.add(entry);
}

/** Gives back the unused part of an estimate. Negative values are ignored. */
export function refundService(ledger: Ledger, pool: string, account: string, ms: number): void {
  if (!(ms > 0)) return;
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  entry.own.refundedMs += ms;
  ledger.changedEntries.add(entry);
}

/** The fleet's totals of the account as this router knows them. */
export function computeFleetTotals(entry: LedgerEntry): ServiceTotals {
  const { own, contained, others } = entry;
  return {
    chargedMs: others.chargedMs + own.chargedMs - contained.chargedMs,
    refundedMs: others.refundedMs + own.refundedMs - contained.refundedMs,
  };
}

function serviceMs(entry: LedgerEntry): number {
  const { chargedMs, refundedMs } = computeFleetTotals(entry);
  return chargedMs - refundedMs;
}

function unclampedTimeMs(entry: LedgerEntry): number {
  return serviceMs(entry) / entry.lift.share + entry.lift.liftMs;
}

/** Starts a lift epoch when the configured share changed, keeping the virtual time as it was. */
function applyShare(ledger: Ledger, entry: LedgerEntry, share: number): void {
  if (entry.configuredShare === share) return;
  const first = entry.configuredShare === undefined;
  entry.configuredShare = share;
  const { lift } = entry;
  if (lift.share === share) return;
  if (first && lift.epoch === 0) {
    lift.share = share;
    return;
  }
  const timeMs = unclampedTimeMs(entry);
  lift.epoch += 1;
  lift.share = share;
  lift.liftMs = Math.ceil(timeMs - serviceMs(entry) / share);
  ledger.changedEntries.add(entry);
}

function raiseTo(ledger: Ledger, entry: LedgerEntry, floorMs: number): number {
  const timeMs = unclampedTimeMs(entry);
  if (timeMs >= floorMs) return timeMs;
  entry.lift.liftMs = Math.ceil(entry.lift.liftMs + floorMs - timeMs);
  ledger.changedEntries.add(entry);
  return unclampedTimeMs(entry);
}

/** The pool's virtual time: the largest start tag dispatched so far. */
export function getPoolVirtualTimeMs(ledger: Ledger, pool: string): number {
  return ledger.pools.get(pool)?.virtualTimeMs ?? 0;
}

/**
 * Virtual time of the account. An account that lags the pool by more than the lag bound is lifted to the bound for good, so
 * it does not catch up on the rest.
 */
export function getAccountVirtualTimeMs(
  ledger: Ledger,
  pool: string,
  account: string,
  share: number,
): number {
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  applyShare(ledger, entry, share);
  return raiseTo(ledger, entry, getPoolVirtualTimeMs(ledger, pool) - ledger.options.lagBoundMs);
}

/** Advances the pool's virtual time to the start tag of a dispatched request; it never goes back. */
export function advancePoolVirtualTime(ledger: Ledger, pool: string, startTagMs: number): void {
  const record = getOrCreateLedgerPool(ledger, pool);
  const wholeMs = Math.floor(startTagMs);
  if (!(wholeMs > record.virtualTimeMs)) return;
  record.virtualTimeMs = wholeMs;
  ledger.changedPools.add(record);
}

/**
 * Lifts an account that becomes backlogged here to the pool's virtual time, unless it is known to wait at this or another
 * router already: idling saves up nothing. `floorMs` takes the place of the pool's virtual time. Call it before `setWaiting`.
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
  raiseTo(ledger, entry, floorMs);
}

/** Records whether requests of the account wait at this router. */
export function setWaiting(ledger: Ledger, pool: string, account: string, waiting: boolean): void {
  const entry = getOrCreateLedgerEntry(ledger, pool, account);
  if (entry.waiting === waiting) return;
  entry.waiting = waiting;
  ledger.changedEntries.add(entry);
}

/**
 * Merges a lift heard from another router. Epoch 0 is the share that every router was configured with, so its share is not
 * compared. Returns whether the lift changed.
 */
export function mergeLift(entry: LedgerEntry, heard: Lift): boolean {
  const { lift } = entry;
  if (heard.epoch < lift.epoch) return false;
  if (heard.epoch === 0) {
    if (heard.liftMs <= lift.liftMs) return false;
    lift.liftMs = heard.liftMs;
    return true;
  }
  const sameEpoch = heard.epoch === lift.epoch;
  if (sameEpoch && heard.share < lift.share) return false;
  if (sameEpoch && heard.share === lift.share && heard.liftMs <= lift.liftMs) return false;
  entry.lift = { ...heard };
  return true;
}

/**
 * Takes in fleet totals heard from a home. `contained` is the part of this router's own service that they contain. The totals
 * this router sees never fall: after a change of home, `others` starts from what was known.
 */
export function applyFleetTotals(
  entry: LedgerEntry,
  heard: ServiceTotals,
  contained: ServiceTotals,
): void {
  const known = subtractTotals(addTotals(entry.others, contained), entry.contained);
  entry.others = maxTotals(heard, known);
  entry.contained = contained;
}
