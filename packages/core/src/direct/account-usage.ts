/** Max-min fair shares of client accounts over a sliding window, from the requested and served tokens of the whole fleet. */
import { createSlidingSum } from './sliding-sum.js';
import type { SlidingSum } from './sliding-sum.js';

/** Requested and served tokens of one account. */
export interface AccountTotals {
  requested: number;
  served: number;
}

/** Requested and served tokens by account. */
export interface AccountUsage {
  recordRequested(account: string, tokens: number, nowMs: number): void;
  recordServed(account: string, tokens: number, nowMs: number): void;
  /** Adds the tokens of other routers since their last report. */
  recordPeerTokens(account: string, tokens: AccountTotals, nowMs: number): void;
  /** Ratio of served tokens to the account's max-min fair share; 0 while capacity is sufficient for all accounts. */
  shareUsed(account: string, nowMs: number): number;
  /** How far capacity is insufficient, by the unserved tokens of all accounts: from 0 if it is sufficient to 1. */
  shortfall(nowMs: number): number;
  /** Removes and returns this router's own tokens since the last call, for reports. */
  takeOwnTokens(): Map<string, AccountTotals>;
}

interface AccountWindow {
  requested: SlidingSum;
  served: SlidingSum;
}

/** Served fraction of the requested tokens below which capacity counts as insufficient. */
const SUFFICIENT_SERVED_FRACTION = 0.97;
/** Served fraction of the requested tokens at which the shortfall is full. */
const FULL_SHORTFALL_SERVED_FRACTION = 0.8;
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
  let ownTokens = new Map<string, AccountTotals>();
  let fairShare = Number.POSITIVE_INFINITY;
  let shortfall = 0;
  let computedAtMs = Number.NEGATIVE_INFINITY;

  function getWindow(account: string): AccountWindow {
    let window = windows.get(account);
    if (window === undefined) {
      window = { requested: createSlidingSum(windowMs), served: createSlidingSum(windowMs) };
      windows.set(account, window);
    }
    return window;
  }

  function getOwnTokens(account: string): AccountTotals {
    let tokens = ownTokens.get(account);
    if (tokens === undefined) {
      tokens = { requested: 0, served: 0 };
      ownTokens.set(account, tokens);
    }
    return tokens;
  }

  /** Removes the windows in which nothing was requested, so that their number follows the accounts in use. */
  function removeIdleWindows(nowMs: number): void {
    windows.forEach(({ requested, served }, account) => {
      if (requested.total(nowMs) === 0 && served.total(nowMs) === 0) windows.delete(account);
    });
  }

  /** Computes the fair share and the shortfall unless they are recent. */
  function update(nowMs: number): void {
    if (nowMs - computedAtMs < FAIR_SHARE_PERIOD_MS) return;
    computedAtMs = nowMs;
    removeIdleWindows(nowMs);
    const requested = [...windows.values()].map((window) => window.requested.total(nowMs));
    const served = [...windows.values()].reduce(
      (sum, window) => sum + window.served.total(nowMs),
      0,
    );
    const totalRequested = requested.reduce((sum, amount) => sum + amount, 0);
    const servedFraction = totalRequested > 0 ? served / totalRequested : 1;
    const missingFraction = Math.max(0, SUFFICIENT_SERVED_FRACTION - servedFraction);
    const maxMissingFraction = SUFFICIENT_SERVED_FRACTION - FULL_SHORTFALL_SERVED_FRACTION;
    shortfall = Math.min(1, missingFraction / maxMissingFraction);
    fairShare = shortfall === 0 ? Number.POSITIVE_INFINITY : maxMinFairShare(requested, served);
  }

  function add(account: string, requested: number, served: number, nowMs: number): void {
    const window = getWindow(account);
    if (requested > 0) window.requested.add(nowMs, requested);
    if (served > 0) window.served.add(nowMs, served);
  }

  return {
    recordRequested(account, tokens, nowMs) {
      getOwnTokens(account).requested += tokens;
      add(account, tokens, 0, nowMs);
    },
    recordServed(account, tokens, nowMs) {
      getOwnTokens(account).served += tokens;
      add(account, 0, tokens, nowMs);
    },
    recordPeerTokens: (account, { requested, served }, nowMs) =>
      add(account, requested, served, nowMs),
    shareUsed(account, nowMs) {
      update(nowMs);
      if (fairShare === Number.POSITIVE_INFINITY) return 0;
      return fairShare > 0 ? getWindow(account).served.total(nowMs) / fairShare : 1;
    },
    shortfall(nowMs) {
      update(nowMs);
      return shortfall;
    },
    takeOwnTokens() {
      const taken = ownTokens;
      ownTokens = new Map();
      return taken;
    },
  };
}
