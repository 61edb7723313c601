/** Turns items of the exchange into entries of messages and back. Numbers on the wire are whole milliseconds. */
import type { AccountTotal, PoolTime } from '../protocol/index.js';
import type { Lift, ServiceTotals } from './types.js';

/** What an entry of a message says. */
export interface WireEntry {
  pool: string;
  account: string;
  totals: ServiceTotals;
  lift: Lift;
  waiting: boolean;
  writer?: string;
}

/** Encodes an entry, leaving out what is 0 or false. */
export function encodeTotal({
  pool,
  account,
  totals,
  lift,
  waiting,
  writer,
}: WireEntry): AccountTotal {
  const total: AccountTotal = { pool, account };
  if (totals.chargedMs > 0) total.chargedMs = totals.chargedMs;
  if (totals.refundedMs > 0) total.refundedMs = totals.refundedMs;
  if (lift.liftMs !== 0) total.liftMs = lift.liftMs;
  if (lift.epoch > 0) {
    total.liftEpoch = lift.epoch;
    total.liftShare = lift.share;
  }
  if (waiting) total.waiting = true;
  if (writer !== undefined) total.writer = writer;
  return total;
}

/** Decodes an entry. */
export function decodeTotal(total: AccountTotal): WireEntry {
  return {
    pool: total.pool,
    account: total.account,
    totals: { chargedMs: total.chargedMs ?? 0, refundedMs: total.refundedMs ?? 0 },
    lift: {
      epoch: total.liftEpoch ?? 0,
      liftMs: total.liftMs ?? 0,
      share: total.liftShare ?? 1,
    },
    waiting: total.waiting ?? false,
    writer: total.writer,
  };
}

/** Encodes a pool's virtual time. */
export function encodePool(pool: string, virtualTimeMs: number): PoolTime {
  return { pool, virtualTimeMs };
}
