/**
 * Numbered, acknowledged messages between two routers. Items that changed wait in an outbox; a message takes them, and they
 * go out again with their values of then if it is not acknowledged in time.
 */
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

/** Ticks after which an unacknowledged message counts as lost. */
const RESEND_TICKS = 4;

const SESSION_RANGE = 65_521;

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
    inboxes: createInboxes(),
    formerInboxes: new Map(),
  };
}

const MAX_FORMER_RUNS = 4;

/**
 * Starts over with another run of the peer. Numbers of messages go on, so that late acknowledgements find nothing; what a run
 * sent is kept for a while, in case a message of a former run comes late and makes it look like the present one.
 */
export function resetPeer(peer: ExchangePeer, run: number): void {
  const { outboxes, inboxes, formerInboxes } = peer;
  if (peer.run !== undefined) formerInboxes.set(peer.run, inboxes);
  if (formerInboxes.size > MAX_FORMER_RUNS) {
    formerInboxes.delete(formerInboxes.keys().next().value as number);
  }
  peer.run = run;
  peer.inboxes = formerInboxes.get(run) ?? createInboxes();
  formerInboxes.delete(run);
  EXCHANGE_KINDS.forEach((kind) => {
    outboxes[kind] = { ...createOutbox(), nextSeq: outboxes[kind].nextSeq };
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
    sent.sent.forEach(({ out }) => outbox.dirty.add(out.item));
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

/** An empty message. */
export function createMessage(kind: ExchangeKind): ExchangeMessage {
  const lists = { acks: [], keys: [], totals: [], lifts: [], pools: [] };
  return { kind, run: 0, to: 0, session: 0, seq: 0, ...lists };
}

/** Hash of two runs, never 0. */
export function sessionOf(run: number, to: number): number {
  return 1 + ((run + (to % SESSION_RANGE) * 31) % SESSION_RANGE);
}

/** Numbers the message if it carries anything to be acknowledged, names the runs and adds acknowledgements. */
export function seal(
  peer: ExchangePeer,
  message: ExchangeMessage,
  sent: SentItem[],
  { run, tick }: { run: number; tick: number },
): void {
  const outbox = peer.outboxes[message.kind];
  const inbox = peer.inboxes[PAIRED_KIND[message.kind]];
  if (outbox.established && peer.run !== undefined) message.session = sessionOf(run, peer.run);
  else Object.assign(message, { run, to: peer.run ?? 0 });
  message.acks = inbox.pendingAcks;
  inbox.pendingAcks = [];
  const greeting = greetingDue(outbox, tick);
  if (greeting) outbox.greetedTick = tick;
  if (sent.length === 0 && !greeting) return;
  message.seq = outbox.nextSeq;
  outbox.nextSeq += 1;
  outbox.inFlight.set(message.seq, { tick, sent });
}

/**
 * Notes the number of a received message. Returns whether its entries count: only if it is newer than all before it. One that
 * comes late is not acknowledged, so what it said is sent again.
 */
export function receive(peer: ExchangePeer, message: ExchangeMessage): boolean {
  const inbox = peer.inboxes[message.kind];
  if (message.seq <= inbox.lastSeq) return false;
  inbox.lastSeq = message.seq;
  inbox.pendingAcks.push(message.seq);
  return true;
}
