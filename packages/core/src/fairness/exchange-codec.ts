/**
 * Compact encoding of exchange messages: numeric keys replace names, and only the low bits of a total are sent if the peer has
 * a recent value. Messages of a kind are decoded in the order sent, so the peer's last value never exceeds the current one.
 */
import { isPoolItem, itemValue } from './exchange-values.js';
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

/** Number of values that the low bits of a counter can represent. */
const LOW_BITS_RANGE = 2 ** 15;

/** Encodes a grow-only counter for a peer that has received at least `acked`; undefined if it acknowledged no value. */
export function encodeCounter(value: number, acked: number | undefined): number {
  if (value === acked) return 0;
  if (acked === undefined || value - acked >= LOW_BITS_RANGE) return value;
  return -1 - (value % LOW_BITS_RANGE);
}

/** Decodes a grow-only counter whose last received value is `last`. */
export function decodeCounter(encoded: number, last: number): number {
  if (encoded === 0) return last;
  if (encoded > 0) return encoded;
  const increase = (-1 - encoded - (last % LOW_BITS_RANGE) + LOW_BITS_RANGE) % LOW_BITS_RANGE;
  return last + increase;
}

function getOrCreateOutgoingKey(outbox: Outbox, item: OutboxItem): OutgoingKey {
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

function appendPool(message: ExchangeMessage, out: OutgoingKey, pool: LedgerPool): SentItem {
  const { key, acked } = out;
  const { virtualTimeMs } = pool;
  if (acked === undefined) message.keys.push({ key, pool: pool.pool, account: '', writer: '' });
  message.pools.push({ key, virtualTimeMs: encodeCounter(virtualTimeMs, acked?.chargedMs) });
  return { out, totals: { chargedMs: virtualTimeMs, refundedMs: 0 }, lift: undefined };
}

/** Appends an item with its current value to a message. */
export function appendItem(
  state: ExchangeState,
  peer: ExchangePeer,
  message: ExchangeMessage,
  item: OutboxItem,
): SentItem {
  const out = getOrCreateOutgoingKey(peer.outboxes[message.kind], item);
  if (isPoolItem(item)) return appendPool(message, out, item);
  const { key, acked, ackedLift } = out;
  const { entry, totals, waiting, writer } = itemValue(state, peer, message.kind, item);
  const { pool, account } = entry;
  if (acked === undefined) message.keys.push({ key, pool, account, writer });
  message.totals.push({
    key,
    chargedMs: encodeCounter(totals.chargedMs, acked?.chargedMs),
    refundedMs: encodeCounter(totals.refundedMs, acked?.refundedMs),
    waiting,
  });
  const lift = { ...entry.lift };
  if (!isSameLift(ackedLift, lift)) message.lifts.push({ key, ...lift });
  return { out, totals, lift };
}

/** Records that the peer received the values of a sent item. */
export function markAcknowledged({ out, totals, lift }: SentItem): void {
  out.acked = maxTotals(out.acked ?? zeroTotals(), totals);
  out.ackedLift = lift;
}

/** A decoded account entry. */
export interface DecodedTotal {
  key: IncomingKey;
  waiting: boolean;
  lift: Lift | undefined;
}

/** Decoded entries of a message. */
export interface DecodedMessage {
  totals: DecodedTotal[];
  pools: IncomingKey[];
}

function registerKeys(inbox: Inbox, message: ExchangeMessage): void {
  message.keys.forEach(({ key, pool, account, writer }) => {
    const known = inbox.keys.get(key);
    const isUnchanged =
      known?.pool === pool && known.account === account && known.writer === writer;
    if (!isUnchanged) inbox.keys.set(key, { pool, account, writer, totals: zeroTotals() });
  });
}

function decodeTotals(last: ServiceTotals, chargedMs: number, refundedMs: number): ServiceTotals {
  return {
    chargedMs: decodeCounter(chargedMs, last.chargedMs),
    refundedMs: decodeCounter(refundedMs, last.refundedMs),
  };
}

/** Decodes a message that is newer than all before it. Entries with unknown keys are skipped. */
export function decodeMessage(inbox: Inbox, message: ExchangeMessage): DecodedMessage {
  registerKeys(inbox, message);
  const lifts = new Map(message.lifts.map(({ key, ...lift }) => [key, lift]));
  const totals: DecodedTotal[] = [];
  message.totals.forEach(({ key: keyNumber, chargedMs, refundedMs, waiting }) => {
    const key = inbox.keys.get(keyNumber);
    if (key === undefined) return;
    key.totals = decodeTotals(key.totals, chargedMs, refundedMs);
    totals.push({ key, waiting, lift: lifts.get(keyNumber) });
  });
  const pools: IncomingKey[] = [];
  message.pools.forEach(({ key: keyNumber, virtualTimeMs }) => {
    const key = inbox.keys.get(keyNumber);
    if (key === undefined) return;
    key.totals = decodeTotals(key.totals, virtualTimeMs, 0);
    pools.push(key);
  });
  return { totals, pools };
}
