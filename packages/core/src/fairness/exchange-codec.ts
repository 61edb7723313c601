/**
 * Compact entries of exchange messages: numbers in place of names, and only the lowest bits of totals that the peer knows
 * nearly. Messages of a kind are decoded in the order they were sent in, so the peer's last value is never above the present
 * one.
 */
import { isPool, itemValue } from './exchange-values.js';
import type {
  ExchangeMessage,
  ExchangePeer,
  ExchangeState,
  Inbox,
  IncomingKey,
  Outbox,
  OutboxItem,
  OutgoingKey,
  SentItem,
} from './exchange-types.js';
import { maxTotals, zeroTotals } from './service-totals.js';
import type { LedgerPool, Lift, ServiceTotals } from './types.js';

const LOW_RANGE = 2 ** 15;

/** Encodes a grow-only number towards a peer that knows at least `acked` of it. */
export function encodeGrowing(value: number, acked: number | undefined): number {
  if (value === acked) return 0;
  if (acked === undefined || value - acked >= LOW_RANGE) return value;
  return -1 - (value % LOW_RANGE);
}

/** Decodes a grow-only number whose last value was `last`. */
export function decodeGrowing(wire: number, last: number): number {
  if (wire === 0) return last;
  if (wire > 0) return wire;
  const ahead = (-1 - wire - (last % LOW_RANGE) + LOW_RANGE) % LOW_RANGE;
  return last + ahead;
}

function outKey(outbox: Outbox, item: OutboxItem): OutgoingKey {
  let out = outbox.keys.get(item);
  if (out === undefined) {
    out = { item, key: outbox.keys.size, acked: undefined, ackedLift: undefined };
    outbox.keys.set(item, out);
  }
  return out;
}

function isSameLift(a: Lift | undefined, b: Lift): boolean {
  if (a === undefined) return b.epoch === 0 && b.liftMs === 0;
  return a.epoch === b.epoch && a.liftMs === b.liftMs && a.share === b.share;
}

function addPool(message: ExchangeMessage, out: OutgoingKey, pool: LedgerPool): SentItem {
  const { key, acked } = out;
  const { virtualTimeMs } = pool;
  if (acked === undefined) message.keys.push({ key, pool: pool.pool, account: '', writer: '' });
  message.pools.push({ key, virtualTimeMs: encodeGrowing(virtualTimeMs, acked?.chargedMs) });
  return { out, totals: { chargedMs: virtualTimeMs, refundedMs: 0 }, lift: undefined };
}

/** Adds an item with its present value to a message. */
export function addItem(
  state: ExchangeState,
  peer: ExchangePeer,
  message: ExchangeMessage,
  item: OutboxItem,
): SentItem {
  const out = outKey(peer.outboxes[message.kind], item);
  if (isPool(item)) return addPool(message, out, item);
  const { key, acked, ackedLift } = out;
  const { entry, totals, waiting, writer } = itemValue(state, peer, message.kind, item);
  const { pool, account } = entry;
  if (acked === undefined) message.keys.push({ key, pool, account, writer });
  message.totals.push({
    key,
    chargedMs: encodeGrowing(totals.chargedMs, acked?.chargedMs),
    refundedMs: encodeGrowing(totals.refundedMs, acked?.refundedMs),
    waiting,
  });
  const lift = { ...entry.lift };
  if (!isSameLift(ackedLift, lift)) message.lifts.push({ key, ...lift });
  return { out, totals, lift };
}

/** Notes that the peer has what a message said of an item. */
export function acknowledgeItem({ out, totals, lift }: SentItem): void {
  out.acked = maxTotals(out.acked ?? zeroTotals(), totals);
  out.ackedLift = lift;
}

/** A decoded entry. */
export interface DecodedTotal {
  key: IncomingKey;
  waiting: boolean;
  lift: Lift | undefined;
}

/** What a message says, decoded. */
export interface DecodedMessage {
  totals: DecodedTotal[];
  pools: IncomingKey[];
}

function learnKeys(inbox: Inbox, message: ExchangeMessage): void {
  message.keys.forEach(({ key, pool, account, writer }) => {
    const known = inbox.keys.get(key);
    const same = known?.pool === pool && known.account === account && known.writer === writer;
    if (!same) inbox.keys.set(key, { pool, account, writer, totals: zeroTotals() });
  });
}

function decodeTotals(last: ServiceTotals, chargedMs: number, refundedMs: number): ServiceTotals {
  return {
    chargedMs: decodeGrowing(chargedMs, last.chargedMs),
    refundedMs: decodeGrowing(refundedMs, last.refundedMs),
  };
}

/** Decodes a message that is newer than all before it. Entries under unknown numbers are left out. */
export function decodeMessage(inbox: Inbox, message: ExchangeMessage): DecodedMessage {
  learnKeys(inbox, message);
  const lifts = new Map(message.lifts.map(({ key, ...lift }) => [key, lift]));
  const totals: DecodedTotal[] = [];
  message.totals.forEach(({ key: number, chargedMs, refundedMs, waiting }) => {
    const key = inbox.keys.get(number);
    if (key === undefined) return;
    key.totals = decodeTotals(key.totals, chargedMs, refundedMs);
    totals.push({ key, waiting, lift: lifts.get(number) });
  });
  const pools: IncomingKey[] = [];
  message.pools.forEach(({ key: number, virtualTimeMs }) => {
    const key = inbox.keys.get(number);
    if (key === undefined) return;
    key.totals = decodeTotals(key.totals, virtualTimeMs, 0);
    pools.push(key);
  });
  return { totals, pools };
}
