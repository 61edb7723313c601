/** Arithmetic on pairs of charged and refunded service. */
import type { ServiceTotals } from './types.js';

/** Returns totals without any service. */
export function zeroTotals(): ServiceTotals {
  return { chargedMs: 0, refundedMs: 0 };
}

/** Returns the sum of two pairs of totals. */
export function addTotals(a: ServiceTotals, b: ServiceTotals): ServiceTotals {
  return { chargedMs: a.chargedMs + b.chargedMs, refundedMs: a.refundedMs + b.refundedMs };
}

/** Returns the difference of two pairs of totals. */
export function subtractTotals(a: ServiceTotals, b: ServiceTotals): ServiceTotals {
  return { chargedMs: a.chargedMs - b.chargedMs, refundedMs: a.refundedMs - b.refundedMs };
}

/** Returns the maximum of each total. */
export function maxTotals(a: ServiceTotals, b: ServiceTotals): ServiceTotals {
  return {
    chargedMs: Math.max(a.chargedMs, b.chargedMs),
    refundedMs: Math.max(a.refundedMs, b.refundedMs),
  };
}

/** Rounds both totals down to whole milliseconds. */
export function floorTotals(totals: ServiceTotals): ServiceTotals {
  return { chargedMs: Math.floor(totals.chargedMs), refundedMs: Math.floor(totals.refundedMs) };
}

/** Returns whether both totals are zero. */
export function isZeroTotals(totals: ServiceTotals): boolean {
  return totals.chargedMs === 0 && totals.refundedMs === 0;
}

/** Returns the amounts by which `to` exceeds `from`; never negative. */
export function totalsIncrease(from: ServiceTotals, to: ServiceTotals): ServiceTotals {
  return subtractTotals(maxTotals(from, to), from);
}
