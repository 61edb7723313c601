/**
 * Fairness gap: maximum of |S_i/share_i - S_j/share_j| over all intervals in which accounts i and j are both
 * continuously backlogged, where S is the slot time that an account received in the interval.
 */
import { getOwn } from '@kingcupsill/core/collections';
import { intersectIntervals, uniteIntervals } from './intervals.js';
import { breakpointsInside, createServiceCurve, totalAt } from './service-curve.js';
import type { ServiceCurve } from './service-curve.js';
import type { Interval, SlotInterval } from './types.js';

const MS_PER_SECOND = 1000;

/** Input of the fairness gap of one pool. */
export interface FairnessInput {
  /** Slot time used in the pool, one interval per run. */
  runs: readonly SlotInterval[];
  /** Intervals in which a request of an account waits for a slot of the pool. */
  waits: readonly SlotInterval[];
  /** Fair share of each account; accounts without an entry have 1. */
  shares: Readonly<Record<string, number>>;
}

/** Maximum gap in normalised slot seconds, with the pair of accounts it was measured between. */
export interface FairnessGap {
  slotSeconds: number;
  accounts?: [string, string];
  /** Interval between the minimum and the maximum of the difference, in milliseconds. */
  startMs?: number;
  endMs?: number;
}

interface AccountService {
  account: string;
  share: number;
  curve: ServiceCurve;
  backlogged: Interval[];
}

function groupByAccount(intervals: readonly SlotInterval[]): Map<string, SlotInterval[]> {
  const groups = new Map<string, SlotInterval[]>();
  intervals.forEach((interval) => {
    const group = groups.get(interval.account);
    if (group === undefined) groups.set(interval.account, [interval]);
    else group.push(interval);
  });
  return groups;
}

/** Range of the difference between the normalised service of two accounts in one interval. */
function measureGapWithin(
  left: AccountService,
  right: AccountService,
  interval: Interval,
): FairnessGap {
  const difference = (atMs: number) =>
    totalAt(left.curve, atMs) / left.share - totalAt(right.curve, atMs) / right.share;
  const times = [
    interval.startMs,
    ...breakpointsInside(left.curve, interval),
    ...breakpointsInside(right.curve, interval),
    interval.endMs,
  ];
  // The difference is linear between breakpoints, so its extremes are at breakpoints or at the ends.
  const points = times.map((atMs) => ({ atMs, value: difference(atMs) }));
  const minimum = points.reduce((a, b) => (b.value < a.value ? b : a));
  const maximum = points.reduce((a, b) => (b.value > a.value ? b : a));
  return {
    slotSeconds: (maximum.value - minimum.value) / MS_PER_SECOND,
    accounts: [left.account, right.account],
    startMs: Math.min(minimum.atMs, maximum.atMs),
    endMs: Math.max(minimum.atMs, maximum.atMs),
  };
}

function measurePairGap(left: AccountService, right: AccountService): FairnessGap {
  return intersectIntervals(left.backlogged, right.backlogged)
    .map((interval) => measureGapWithin(left, right, interval))
    .reduce(largerGap, { slotSeconds: 0 });
}

function largerGap(a: FairnessGap, b: FairnessGap): FairnessGap {
  return b.slotSeconds > a.slotSeconds ? b : a;
}

/** Returns the fairness gap of one pool; 0 without a common backlog. O(n log n) per pair of accounts. */
export function measureFairnessGap({ runs, waits, shares }: FairnessInput): FairnessGap {
  const runsByAccount = groupByAccount(runs);
  const services = [...groupByAccount(waits)].map(([account, accountWaits]): AccountService => ({
    account,
    share: getOwn(shares, account) ?? 1,
    curve: createServiceCurve(runsByAccount.get(account) ?? []),
    backlogged: uniteIntervals(accountWaits),
  }));
  return services
    .flatMap((left, i) => services.slice(i + 1).map((right) => measurePairGap(left, right)))
    .reduce(largerGap, { slotSeconds: 0 });
}
