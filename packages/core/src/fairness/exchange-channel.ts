/**
 * Numbered, acknowledged messages between two routers. Items that changed wait in an outbox; a message takes them, and they
 * go out again with their values of then if it is not acknowledged in time.
 */
import type {
  ExchangeKind,
  ExchangeMessage,
  ExchangePeer,
  Inbox,
  Outbox,
  OutboxItem,
} from './exchange-types.js';

/** Ticks after which an unacknowledged message counts as lost. */
const RESEND_TICKS = 4;

/** Kind of message that acknowledges each kind. */
export const PAIRED_KIND = {
  'totals-report': 'spread-totals',
  'spread-totals': 'totals-report',
  'zone-totals': 'zone-totals',
} as const satisfies Record<ExchangeKind, ExchangeKind>;

export const EXCHANGE_KINDS = Object.keys(PAIRED_KIND) as ExchangeKind[];

function createOutbox(): Outbox {
  return {
    nextSeq: 1,
    dirty: new Set(),
    inFlight: new Map(),
    sentPoolMs: new Map(),
    greet: false,
    greetedTick: undefined,
  };
}

function createInbox(): Inbox {
  return { lastSeq: 0, pendingAcks: [] };
}

/** Creates the state of a peer that has not been heard yet. */
export function createPeer(id: string): ExchangePeer {
  return {
    id,
    run: undefined,
    outboxes: {
      'totals-report': createOutbox(),
      'zone-totals': createOutbox(),
      'spread-totals': createOutbox(),
    },
    inboxes: {
      'totals-report': createInbox(),
      'zone-totals': createInbox(),
      'spread-totals': createInbox(),
    },
  };
}

/** Forgets what was sent to and heard from the peer's former run. Numbers go on, so that late acknowledgements find nothing. */
export function resetPeer(peer: ExchangePeer, run: number): void {
  const { outboxes } = peer;
  Object.assign(peer, createPeer(peer.id), { run });
  EXCHANGE_KINDS.forEach((kind) => {
    peer.outboxes[kind].nextSeq = outboxes[kind].nextSeq;
  });
}

/** Drops everything that waits for the peer. */
export function clearOutboxes(peer: ExchangePeer): void {
  EXCHANGE_KINDS.forEach((kind) => {
    const outbox = peer.outboxes[kind];
    outbox.dirty.clear();
    outbox.inFlight.clear();
    outbox.sentPoolMs.clear();
    outbox.greet = false;
  });
}

/** Puts the items of lost messages back. */
export function expireInFlight(outbox: Outbox, tick: number): void {
  outbox.inFlight.forEach((sent, seq) => {
    if (tick - sent.tick < RESEND_TICKS) return;
    outbox.inFlight.delete(seq);
    sent.items.forEach((item) => outbox.dirty.add(item));
  });
}

function greetingDue(outbox: Outbox, tick: number): boolean {
  if (!outbox.greet) return false;
  return outbox.greetedTick === undefined || tick - outbox.greetedTick >= RESEND_TICKS;
}

/** Whether a message of the kind is due to the peer. */
export function isDue(peer: ExchangePeer, kind: ExchangeKind, tick: number): boolean {
  const outbox = peer.outboxes[kind];
  const acks = peer.inboxes[PAIRED_KIND[kind]].pendingAcks;
  return outbox.dirty.size > 0 || acks.length > 0 || greetingDue(outbox, tick);
}

/** Takes up to `limit` items out of the outbox, oldest change first. */
export function takeItems(outbox: Outbox, limit: number): OutboxItem[] {
  const items: OutboxItem[] = [];
  const waiting = outbox.dirty.values();
  while (items.length < limit) {
    const { value, done } = waiting.next();
    if (done === true) break;
    items.push(value);
  }
  items.forEach((item) => outbox.dirty.delete(item));
  return items;
}

/** Numbers the message if it carries anything to be acknowledged, and adds acknowledgements. */
export function seal(
  peer: ExchangePeer,
  message: ExchangeMessage,
  items: OutboxItem[],
  tick: number,
): void {
  const outbox = peer.outboxes[message.kind];
  const inbox = peer.inboxes[PAIRED_KIND[message.kind]];
  if (peer.run !== undefined) message.to = peer.run;
  if (inbox.pendingAcks.length > 0) message.acks = inbox.pendingAcks;
  inbox.pendingAcks = [];
  const greeting = greetingDue(outbox, tick);
  if (greeting) outbox.greetedTick = tick;
  if (items.length === 0 && !greeting) return;
  message.seq = outbox.nextSeq;
  outbox.nextSeq += 1;
  outbox.inFlight.set(message.seq, { tick, items, message });
}

/** Notes the number of a received message. Returns whether it is newer than all before it. */
export function receive(peer: ExchangePeer, message: ExchangeMessage): boolean {
  if (message.seq === undefined) return false;
  const inbox = peer.inboxes[message.kind];
  if (!inbox.pendingAcks.includes(message.seq)) inbox.pendingAcks.push(message.seq);
  if (message.seq <= inbox.lastSeq) return false;
  inbox.lastSeq = message.seq;
  return true;
}
