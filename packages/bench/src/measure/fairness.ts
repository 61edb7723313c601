/**
 * Fairness gap: the largest |S_i/share_i - S_j/share_j| over any interval in which the accounts i and j both stay
 * backlogged, where S is the slot time that an account received in the interval.
 */
import { intersectIntervals, uniteIntervals } from './intervals.js';
import { breakpointsInside, createServiceCurve, totalAt } from './service-curve.js';
import type { ServiceCurve } from './service-curve.js';
import type { Interval, SlotInterval } from './types.js';

const MS_PER_SECOND = 1000;

/** What the gap of one pool is computed from. */
export interface FairnessInput {
  /** Runs in the pool. */
  runs: readonly SlotInterval[];
  /** Times in which a request of an account waits for the pool. */
  waits: readonly SlotInterval[];
  /** Share of each account. */
  shares: Readonly<Record<string, number>>;
}

/** The largest gap, and the pair of accounts that shows it. */
export interface FairnessGap {
  slotSeconds: number;
  accounts?: [string, string];
  /** Part of the interval between the extremes. */
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
  intervals.forEach((one) => {
    const group = groups.get(one.account);
    if (group === undefined) groups.set(one.account, [one]);
    else group.push(one);
  });
  return groups;
}

/** Largest change of the difference between two accounts' normalised service in one interval. */
function gapInside(left: AccountService, right: AccountService, interval: Interval): FairnessGap {
  const difference = (atMs: number) =>
    totalAt(left.curve, atMs) / left.share - totalAt(right.curve, atMs) / right.share;
  const times = [
    interval.startMs,
    ...breakpointsInside(left.curve, interval),
    ...breakpointsInside(right.curve, interval),
    interval.endMs,
  ];
  // The difference is linear between breakpoints, so its extremes lie on them.
  const points = times.map((atMs) => ({ atMs, value: difference(atMs) }));
  const least = points.reduce((a, b) => (b.value < a.value ? b : a));
  const most = points.reduce((a, b) => (b.value > a.value ? b : a));
  return {
    slotSeconds: (most.value - least.value) / MS_PER_SECOND,
    accounts: [left.account, right.account],
    startMs: Math.min(least.atMs, most.atMs),
    endMs: Math.max(least.atMs, most.atMs),
  };
}

function gapOfPair(left: AccountService, right: AccountService): FairnessGap {
  return intersectIntervals(left.backlogged, right.backlogged)
    .map((interval) => gapInside(left, right, interval))
    .reduce(largerGap, { slotSeconds: 0 });
}

function largerGap(a: FairnessGap, b: FairnessGap): FairnessGap {
  return b.slotSeconds > a.slotSeconds ? b : a;
}

/** Fairness gap of one pool. O(n log n) for each pair of accounts. */
export function measureFairnessGap({ runs, waits, shares }: FairnessInput): FairnessGap {
  const runsOf = groupByAccount(runs);
  const services = [...groupByAccount(waits)].map(([account, own]): AccountService => ({
    account,
    share: shares[account] ?? 1,
    curve: createServiceCurve(runsOf.get(account) ?? []),
    backlogged: uniteIntervals(own),
  }));
  return services
    .flatMap((left, i) => services.slice(i + 1).map((right) => gapOfPair(left, right)))
    .reduce(largerGap, { slotSeconds: 0 });
}
