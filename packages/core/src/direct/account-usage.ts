/** Max-min fair shares of client accounts over a sliding window, from the requested and served tokens of the whole fleet. */
import { createSlidingSum } from './sliding-sum.js';
import type { SlidingSum } from './sliding-sum.js';

/** Totals of one account since the start of a router, in tokens. */
export interface AccountTotals {
  requested: number;
  served: number;
}

/** Requested and served tokens by account. */
export interface AccountUsage {
  recordRequested(account: string, tokens: number, nowMs: number): void;
  recordServed(account: string, tokens: number, nowMs: number): void;
  /** Adds the difference between a peer's totals and its previous ones; its first totals are only a baseline. */
  recordPeerTotals(peer: string, account: string, totals: AccountTotals, nowMs: number): void;
  removePeer(peer: string): void;
  /** Ratio of served tokens to the account's max-min fair share; 0 while capacity is sufficient for all accounts. */
  shareUsed(account: string, nowMs: number): number;
  /** This router's own totals by account, for reports. */
  ownTotals(): ReadonlyMap<string, AccountTotals>;
}

interface AccountWindow {
  requested: SlidingSum;
  served: SlidingSum;
}

/** Served fraction of the requested tokens below which capacity counts as insufficient. */
const SUFFICIENT_SERVED_FRACTION = 0.97;
/** Period between computations of the fair share; requests in between use the last value. */
const FAIR_SHARE_PERIOD_MS = 50;

/** Returns the cap on each amount at which the capped amounts sum to `capacity`; infinite if they fit uncapped. */
export function maxMinFairShare(amounts: readonly number[], capacity: number): number {
  const sorted = [...amounts].sort((a, b) => a - b);
  let remaining = capacity;
  for (let index = 0; index < sorted.length; index += 1) {
    const equalShare = remaining / (sorted.length - index);
    if (sorted[index]! > equalShare) return equalShare;
    remaining -= sorted[index]!;
  }
  return Number.POSITIVE_INFINITY;
}

/** Creates the usage of all accounts over a window of `windowMs`. */
export function createAccountUsage(windowMs: number): AccountUsage {
  const windows = new Map<string, AccountWindow>();
  const ownTotals = new Map<string, AccountTotals>();
  const totalsByPeer = new Map<string, Map<string, AccountTotals>>();
  let fairShare = Number.POSITIVE_INFINITY;
  let fairShareAtMs = Number.NEGATIVE_INFINITY;

  function getWindow(account: string): AccountWindow {
    let window = windows.get(account);
    if (window === undefined) {
      window = { requested: createSlidingSum(windowMs), served: createSlidingSum(windowMs) };
      windows.set(account, window);
    }
    return window;
  }

  function getOwnTotals(account: string): AccountTotals {
    let totals = ownTotals.get(account);
    if (totals === undefined) {
      totals = { requested: 0, served: 0 };
      ownTotals.set(account, totals);
    }
    return totals;
  }

  function computeFairShare(nowMs: number): number {
    const requested = [...windows.values()].map((window) => window.requested.total(nowMs));
    const served = [...windows.values()].reduce(
      (sum, window) => sum + window.served.total(nowMs),
      0,
    );
    const totalRequested = requested.reduce((sum, amount) => sum + amount, 0);
    return served >= totalRequested * SUFFICIENT_SERVED_FRACTION
      ? Number.POSITIVE_INFINITY
      : maxMinFairShare(requested, served);
  }

  function add(account: string, requested: number, served: number, nowMs: number): void {
    const window = getWindow(account);
    if (requested > 0) window.requested.add(nowMs, requested);
    if (served > 0) window.served.add(nowMs, served);
  }

  return {
    recordRequested(account, tokens, nowMs) {
      getOwnTotals(account).requested += tokens;
      add(account, tokens, 0, nowMs);
    },
    recordServed(account, tokens, nowMs) {
      getOwnTotals(account).served += tokens;
      add(account, 0, tokens, nowMs);
    },
    recordPeerTotals(peer, account, totals, nowMs) {
      const totalsByAccount = totalsByPeer.get(peer) ?? new Map<string, AccountTotals>();
      const previous = totalsByAccount.get(account);
      totalsByAccount.set(account, totals);
      totalsByPeer.set(peer, totalsByAccount);
      if (previous === undefined) return;
      add(account, totals.requested - previous.requested, totals.served - previous.served, nowMs);
    },
    removePeer(peer) {
      totalsByPeer.delete(peer);
    },
    shareUsed(account, nowMs) {
      if (nowMs - fairShareAtMs >= FAIR_SHARE_PERIOD_MS) {
        fairShare = computeFairShare(nowMs);
        fairShareAtMs = nowMs;
      }
      if (fairShare === Number.POSITIVE_INFINITY) return 0;
      return fairShare > 0 ? getWindow(account).served.total(nowMs) / fairShare : 1;
    },
    ownTotals: () => ownTotals,
  };
}
