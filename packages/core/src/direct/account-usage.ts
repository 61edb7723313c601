/** Max-min shares of client accounts over a short window, from what was asked and served in the whole fleet. */
import { createSlidingSum } from './sliding-sum.js';
import type { SlidingSum } from './sliding-sum.js';

/** Totals of one account since the start of a router, in tokens. */
export interface AccountTotals {
  requested: number;
  served: number;
}

/** What accounts asked for and got. */
export interface AccountUsage {
  recordRequested(account: string, tokens: number, nowMs: number): void;
  recordServed(account: string, tokens: number, nowMs: number): void;
  /** Adds what a peer reports beyond its last report. */
  recordPeerTotals(peer: string, account: string, totals: AccountTotals, nowMs: number): void;
  removePeer(peer: string): void;
  /** Served tokens against the account's max-min share: above 1 it has had more. 0 while nothing is short. */
  shareUsed(account: string, nowMs: number): number;
  /** Own totals by account, for reports. */
  ownTotals(): ReadonlyMap<string, AccountTotals>;
}

interface Window {
  asked: SlidingSum;
  served: SlidingSum;
}

/** Below this part of what was asked for, something is short. */
const SHORT_BELOW = 0.97;
/** Time between computations of the level; requests between them use the last one. */
const LEVEL_PERIOD_MS = 50;

/** Level at which amounts are cut so that their sum is `capacity`; infinite where they fit. */
export function maxMinFairShare(amounts: readonly number[], capacity: number): number {
  const sorted = [...amounts].sort((a, b) => a - b);
  let left = capacity;
  for (let index = 0; index < sorted.length; index += 1) {
    const even = left / (sorted.length - index);
    if (sorted[index]! > even) return even;
    left -= sorted[index]!;
  }
  return Number.POSITIVE_INFINITY;
}

/** Creates the usage over `windowMs`. */
export function createAccountUsage(windowMs: number): AccountUsage {
  const windows = new Map<string, Window>();
  const own = new Map<string, AccountTotals>();
  const peers = new Map<string, Map<string, AccountTotals>>();
  let level = Number.POSITIVE_INFINITY;
  let levelAtMs = Number.NEGATIVE_INFINITY;

  function windowOf(account: string): Window {
    let window = windows.get(account);
    if (window === undefined) {
      window = { asked: createSlidingSum(windowMs), served: createSlidingSum(windowMs) };
      windows.set(account, window);
    }
    return window;
  }

  function totalsOf(account: string): AccountTotals {
    let totals = own.get(account);
    if (totals === undefined) {
      totals = { requested: 0, served: 0 };
      own.set(account, totals);
    }
    return totals;
  }

  function computeLevel(nowMs: number): number {
    const asked = [...windows.values()].map((window) => window.asked.total(nowMs));
    const served = [...windows.values()].reduce((sum, each) => sum + each.served.total(nowMs), 0);
    const wanted = asked.reduce((sum, amount) => sum + amount, 0);
    return served >= wanted * SHORT_BELOW
      ? Number.POSITIVE_INFINITY
      : maxMinFairShare(asked, served);
  }

  function add(account: string, asked: number, served: number, nowMs: number): void {
    const window = windowOf(account);
    if (asked > 0) window.asked.add(nowMs, asked);
    if (served > 0) window.served.add(nowMs, served);
  }

  return {
    recordRequested(account, tokens, nowMs) {
      totalsOf(account).requested += tokens;
      add(account, tokens, 0, nowMs);
    },
    recordServed(account, tokens, nowMs) {
      totalsOf(account).served += tokens;
      add(account, 0, tokens, nowMs);
    },
    recordPeerTotals(peer, account, totals, nowMs) {
      const seen = peers.get(peer) ?? new Map<string, AccountTotals>();
      const before = seen.get(account);
      seen.set(account, totals);
      peers.set(peer, seen);
      if (before === undefined) return;
      add(account, totals.requested - before.requested, totals.served - before.served, nowMs);
    },
    removePeer(peer) {
      peers.delete(peer);
    },
    shareUsed(account, nowMs) {
      if (nowMs - levelAtMs >= LEVEL_PERIOD_MS) {
        level = computeLevel(nowMs);
        levelAtMs = nowMs;
      }
      if (level === Number.POSITIVE_INFINITY) return 0;
      return level > 0 ? windowOf(account).served.total(nowMs) / level : 1;
    },
    ownTotals: () => own,
  };
}
