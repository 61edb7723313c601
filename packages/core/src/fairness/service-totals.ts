/** Arithmetic on charged and refunded totals. */
import type { ServiceTotals } from './types.js';

/** Totals of no service. */
export function zeroTotals(): ServiceTotals {
  return { chargedMs: 0, refundedMs: 0 };
}

export function addTotals(a: ServiceTotals, b: ServiceTotals): ServiceTotals {
  return { chargedMs: a.chargedMs + b.chargedMs, refundedMs: a.refundedMs + b.refundedMs };
}

export function subtractTotals(a: ServiceTotals, b: ServiceTotals): ServiceTotals {
  return { chargedMs: a.chargedMs - b.chargedMs, refundedMs: a.refundedMs - b.refundedMs };
}

/** The larger of each total. */
export function maxTotals(a: ServiceTotals, b: ServiceTotals): ServiceTotals {
  return {
    chargedMs: Math.max(a.chargedMs, b.chargedMs),
    refundedMs: Math.max(a.refundedMs, b.refundedMs),
  };
}

/** Whole milliseconds, rounded down. */
export function floorTotals(a: ServiceTotals): ServiceTotals {
  return { chargedMs: Math.floor(a.chargedMs), refundedMs: Math.floor(a.refundedMs) };
}

export function isZero(a: ServiceTotals): boolean {
  return a.chargedMs === 0 && a.refundedMs === 0;
}

/** What a raise to `to` adds to `from`; never negative. */
export function growth(from: ServiceTotals, to: ServiceTotals): ServiceTotals {
  return subtractTotals(maxTotals(from, to), from);
}
