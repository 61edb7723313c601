/**
 * Numbered and acknowledged messages between two routers. Changed items are queued in an outbox until a message takes them. If
 * it is not acknowledged in time, they are queued again and sent with their values at that time.
 */
import { evictLeastRecentlyUsed } from '../collections/index.js';
import type {
  ExchangeKind,
  ExchangeMessage,
  ExchangePeer,
  Inbox,
  Inboxes,
  Outbox,
  OutboxItem,
  SentItem,
} from './exchange-types.js';

/** Number of ticks after which an unacknowledged message is considered lost. */
const ACK_TIMEOUT_TICKS = 4;

/** Modulus of session hashes. */
const SESSION_HASH_RANGE = 65_521;

/** Message kind that carries the acknowledgements of each kind. */
export const ACKNOWLEDGING_KIND = {
  'totals-report': 'spread-totals',
  'spread-totals': 'totals-report',
  'zone-totals': 'zone-totals',
} as const satisfies Record<ExchangeKind, ExchangeKind>;

/** All message kinds of the exchange. */
export const EXCHANGE_KINDS = Object.keys(ACKNOWLEDGING_KIND) as ExchangeKind[];

function createOutbox(): Outbox {
  return {
    nextSeq: 1,
    established: false,
    dirty: new Set(),
    keys: new Map(),
    inFlight: new Map(),
    sentPoolMs: new Map(),
    greet: false,
    greetedTick: undefined,
  };
}

function createInbox(): Inbox {
  return { lastSeq: 0, pendingAcks: [], keys: new Map() };
}

function createInboxes(): Inboxes {
  return {
    'totals-report': createInbox(),
    'zone-totals': createInbox(),
    'spread-totals': createInbox(),
  };
}

/** Creates the state of a peer from which no message has been received. */
export function createPeer(id: string): ExchangePeer {
  return {
    id,
    run: undefined,
    outboxes: {
      'totals-report': createOutbox(),
      'zone-totals': createOutbox(),
      'spread-totals': createOutbox(),
    },
    inboxes: createInboxes(),
    formerInboxes: new Map(),
  };
}

/** Maximum number of former runs of a peer whose inboxes are kept. */
const MAX_FORMER_RUNS = 4;

/**
 * Resets the peer's state for a new run. Sequence numbers continue, so that late acknowledgements match no message. Inboxes of
 * former runs are kept for a while, because a late message of a former run makes it appear to be the current one.
 */
export function resetPeer(peer: ExchangePeer, run: number): void {
  const { outboxes, inboxes, formerInboxes } = peer;
  if (peer.run !== undefined) formerInboxes.set(peer.run, inboxes);
  evictLeastRecentlyUsed(formerInboxes, MAX_FORMER_RUNS);
  peer.run = run;
  peer.inboxes = formerInboxes.get(run) ?? createInboxes();
  formerInboxes.delete(run);
  EXCHANGE_KINDS.forEach((kind) => {
    outboxes[kind] = { ...createOutbox(), nextSeq: outboxes[kind].nextSeq };
  });
}

/** Discards all queued and unacknowledged items for a peer. */
export function clearOutboxes(peer: ExchangePeer): void {
  EXCHANGE_KINDS.forEach((kind) => {
    const outbox = peer.outboxes[kind];
    outbox.dirty.clear();
    outbox.inFlight.clear();
    outbox.sentPoolMs.clear();
    outbox.greet = false;
  });
}

/** Queues the items of lost messages again. */
export function requeueUnacknowledged(outbox: Outbox, tick: number): void {
  outbox.inFlight.forEach((message, seq) => {
    if (tick - message.tick < ACK_TIMEOUT_TICKS) return;
    outbox.inFlight.delete(seq);
    message.sent.forEach(({ out }) => outbox.dirty.add(out.item));
  });
}

function isHandshakeDue(outbox: Outbox, tick: number): boolean {
  if (!outbox.greet) return false;
  return outbox.greetedTick === undefined || tick - outbox.greetedTick >= ACK_TIMEOUT_TICKS;
}

/** Returns whether a message of the given kind must be sent to the peer. */
export function isMessageDue(peer: ExchangePeer, kind: ExchangeKind, tick: number): boolean {
  const outbox = peer.outboxes[kind];
  const acks = peer.inboxes[ACKNOWLEDGING_KIND[kind]].pendingAcks;
  return outbox.dirty.size > 0 || acks.length > 0 || isHandshakeDue(outbox, tick);
}

/** Removes up to `limit` items from the outbox and returns them, oldest change first. */
export function takeItems(outbox: Outbox, limit: number): OutboxItem[] {
  const items: OutboxItem[] = [];
  const dirtyItems = outbox.dirty.values();
  while (items.length < limit) {
    const { value, done } = dirtyItems.next();
    if (done === true) break;
    items.push(value);
  }
  items.forEach((item) => outbox.dirty.delete(item));
  return items;
}

/** Creates a message without entries. */
export function createEmptyMessage(kind: ExchangeKind): ExchangeMessage {
  const lists = { acks: [], keys: [], totals: [], lifts: [], pools: [] };
  return { kind, run: 0, to: 0, session: 0, seq: 0, ...lists };
}

/** Returns a hash of the sender's and the receiver's run; never 0. */
export function sessionHash(senderRun: number, receiverRun: number): number {
  return 1 + ((senderRun + (receiverRun % SESSION_HASH_RANGE) * 31) % SESSION_HASH_RANGE);
}

/** Adds runs, acknowledgements and, if the message must be acknowledged, a sequence number. */
export function finalizeMessage(
  peer: ExchangePeer,
  message: ExchangeMessage,
  sent: SentItem[],
  { run, tick }: { run: number; tick: number },
): void {
  const outbox = peer.outboxes[message.kind];
  const inbox = peer.inboxes[ACKNOWLEDGING_KIND[message.kind]];
  if (outbox.established && peer.run !== undefined) message.session = sessionHash(run, peer.run);
  else Object.assign(message, { run, to: peer.run ?? 0 });
  message.acks = inbox.pendingAcks;
  inbox.pendingAcks = [];
  const isHandshake = isHandshakeDue(outbox, tick);
  if (isHandshake) outbox.greetedTick = tick;
  if (sent.length === 0 && !isHandshake) return;
  message.seq = outbox.nextSeq;
  outbox.nextSeq += 1;
  outbox.inFlight.set(message.seq, { tick, sent });
}

/**
 * Records the sequence number of a received message. Returns whether its entries must be applied, which requires that it is
 * newer than all messages before it. An outdated message is not acknowledged, so its items are sent again.
 */
export function acceptMessage(peer: ExchangePeer, message: ExchangeMessage): boolean {
  const inbox = peer.inboxes[message.kind];
  if (message.seq <= inbox.lastSeq) return false;
  inbox.lastSeq = message.seq;
  inbox.pendingAcks.push(message.seq);
  return true;
}
