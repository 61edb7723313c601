/**
 * Exchange of service totals between routers, hosted in each of them: a pure reducer over ticks, changes of the live routers
 * and messages. Every account bucket has a home router in each availability zone. Routers report what they counted to the
 * homes of their zone, homes tell each other what their zones counted, and spread the sums to the routers of their zone that
 * use the account. Only changes are sent, at most one message of a kind per peer and period; nothing is sent while nothing
 * changes. Lost messages go out again, and all that is merged merges by maximum, so order and duplicates do not matter.
 */
import { bucketOf } from '../hash/index.js';
import type { Step } from '../loop/index.js';
import {
  EXCHANGE_KINDS,
  PAIRED_KIND,
  clearOutboxes,
  createMessage,
  createPeer,
  expireInFlight,
  isDue,
  receive,
  resetPeer,
  seal,
  sessionOf,
  takeItems,
} from './exchange-channel.js';
import {
  acceptReport,
  applyAtHome,
  homeRecord,
  isPresentHome,
  isLiveWriter,
  markCell,
  markSpread,
  ownCell,
  raiseCell,
  setCellWaiting,
  writerName,
  refreshLiveness,
} from './exchange-home.js';
import { acknowledgeItem, addItem, decodeMessage } from './exchange-codec.js';
import type { DecodedTotal } from './exchange-codec.js';
import { ownRecord, reportChange, retarget } from './exchange-own.js';
import { createTopology, helpsNewPeer, homeOf } from './exchange-topology.js';
import type {
  ExchangeEvent,
  ExchangeKind,
  ExchangeMessage,
  ExchangeOptions,
  ExchangePeer,
  ExchangeRouter,
  ExchangeSend,
  ExchangeState,
  HomeRecord,
  IncomingKey,
  Outbox,
  OutboxItem,
  ReportSession,
  ExchangeTopology,
} from './exchange-types.js';
import { isPool } from './exchange-values.js';
import {
  applyFleetTotals,
  getOrCreateLedgerEntry,
  getOrCreateLedgerPool,
  mergeLift,
} from './service-ledger.js';
import { maxTotals, subtractTotals } from './service-totals.js';
import type { LedgerPool } from './types.js';

/** Most entries in one message; the rest follows in the next periods. */
const MAX_ENTRIES = 256;

/** Creates the exchange of one router, alone until it hears of others. */
export function createExchange(options: ExchangeOptions): ExchangeState {
  return {
    options,
    run: Math.max(1, options.hasher.hash32(options.self.incarnation)),
    tick: 0,
    nextTickMs: undefined,
    topology: createTopology(options, []),
    peers: new Map(),
    own: new Map(),
    home: new Map(),
  };
}

// --- pools

function poolBucket(state: ExchangeState, pool: string): number {
  return bucketOf(state.options.hasher, `pool\u0000${pool}`, state.options.buckets);
}

/** Queues a pool's virtual time on its way: router, home of the pool, homes of other zones, routers of their zones. */
function markPool(state: ExchangeState, pool: LedgerPool, from?: string): void {
  const { topology, options, peers } = state;
  const bucket = poolBucket(state, pool.pool);
  const home = homeOf(topology, options, bucket);
  if (home !== options.self.id) {
    if (from !== home) peers.get(home)?.outboxes['totals-report'].dirty.add(pool);
    return;
  }
  topology.peers[bucket]?.forEach((id) => {
    if (id !== from) peers.get(id)?.outboxes['zone-totals'].dirty.add(pool);
  });
  topology.routers.forEach(({ id, zone }) => {
    if (zone !== options.self.zone || id === from) return;
    peers.get(id)?.outboxes['spread-totals'].dirty.add(pool);
  });
}

function mergePools(state: ExchangeState, from: string, pools: IncomingKey[]): void {
  pools.forEach(({ pool, totals }) => {
    const record = getOrCreateLedgerPool(state.options.ledger, pool);
    if (totals.chargedMs <= record.virtualTimeMs) return;
    record.virtualTimeMs = totals.chargedMs;
    markPool(state, record, from);
  });
}

// --- changes of routers

/** Queues all that a router new to some buckets, or restarted, has to learn from this one. */
function bringUpToDate(state: ExchangeState, record: HomeRecord, id: string): void {
  const { topology, options, peers } = state;
  const outbox = peers.get(id)?.outboxes['zone-totals'];
  if (outbox === undefined) return;
  const own = writerName(options.self.id, state.run);
  const helps = helpsNewPeer(topology, options, record.bucket, id);
  record.cells.forEach((cell) => {
    const speaksForItself = isPresentHome(state, record, cell.writer);
    if (cell.writer === own || (helps && !speaksForItself)) outbox.dirty.add(cell);
  });
}

/** Greets all that this router exchanges totals with and has not heard, so that they learn of its run. */
function updateGreetings(state: ExchangeState): void {
  const { topology, options, peers } = state;
  const { id: self, zone } = options.self;
  const homes = topology.homes.get(zone) ?? [];
  const isHome = homes.includes(self);
  const shared = new Set<string>();
  topology.peers.forEach((ids, bucket) => {
    if (homes[bucket] !== self && topology.runnersUp[bucket] !== self) return;
    ids.forEach((id) => shared.add(id));
  });
  peers.forEach((peer, id) => {
    if (peer.run !== undefined) return;
    peer.outboxes['totals-report'].greet = homes.includes(id);
    peer.outboxes['zone-totals'].greet = shared.has(id);
    peer.outboxes['spread-totals'].greet = isHome && topology.routers.get(id)?.zone === zone;
  });
}

/** What changed among the routers. */
interface RouterChange {
  /** Runs that ended. */
  retired: Set<string>;
  /** Routers that came, or came back. */
  arrived: Set<string>;
  /** Routers that a bucket is new to. */
  newTo: (bucket: number) => string[];
}

function refreshHome(state: ExchangeState, record: HomeRecord, change: RouterChange): void {
  if (refreshLiveness(state, record)) {
    const own = record.cells.get(writerName(state.options.self.id, state.run));
    if (own !== undefined) markCell(state, own);
    markSpread(state, record);
  }
  change.newTo(record.bucket).forEach((id) => bringUpToDate(state, record, id));
  // This router alone may have heard the last of what a home counted that is gone.
  change.retired.forEach((name) => {
    const cell = record.cells.get(name);
    if (cell !== undefined) markCell(state, cell);
  });
  if ([...record.reporters.values()].some(({ id }) => change.arrived.has(id))) {
    markSpread(state, record);
  }
  applyAtHome(state, record);
}

function markPools(state: ExchangeState): void {
  state.options.ledger.pools.forEach((pool) => {
    if (pool.virtualTimeMs > 0) markPool(state, pool);
  });
}

function updatePeers(state: ExchangeState, former: ExchangeTopology): Set<string> {
  const { peers, topology, options } = state;
  const retired = new Set<string>();
  former.routers.forEach(({ id }) => {
    const peer = peers.get(id);
    if (peer === undefined || topology.routers.has(id)) return;
    clearOutboxes(peer);
    if (peer.run !== undefined) retired.add(writerName(id, peer.run));
  });
  topology.routers.forEach(({ id }) => {
    if (id !== options.self.id && !peers.has(id)) peers.set(id, createPeer(id));
  });
  return retired;
}

function onRoutersChanged(state: ExchangeState, routers: ExchangeRouter[]): void {
  const former = state.topology;
  const topology = createTopology(state.options, routers, former);
  state.topology = topology;
  const change: RouterChange = {
    retired: updatePeers(state, former),
    arrived: new Set([...topology.routers.keys()].filter((id) => !former.routers.has(id))),
    newTo: (bucket) =>
      (topology.peers[bucket] ?? []).filter((id) => former.peers[bucket]?.includes(id) !== true),
  };
  state.home.forEach((record) => refreshHome(state, record, change));
  state.own.forEach((record) => retarget(state, record));
  markPools(state);
  updateGreetings(state);
}

/** Starts over with a peer whose incarnation is new. */
function onNewRun(state: ExchangeState, peer: ExchangePeer, run: number): void {
  const { id, run: formerRun } = peer;
  resetPeer(peer, run);
  const change: RouterChange = {
    retired: new Set(formerRun === undefined ? [] : [writerName(id, formerRun)]),
    arrived: new Set([id]),
    newTo: (bucket) => (state.topology.peers[bucket]?.includes(id) === true ? [id] : []),
  };
  state.home.forEach((record) => refreshHome(state, record, change));
  state.own.forEach((record) => {
    if (record.current === undefined || record.current.home === id) retarget(state, record);
  });
  markPools(state);
}

// --- messages

type TotalHandler = (state: ExchangeState, peer: ExchangePeer, total: DecodedTotal) => void;

const onReported: TotalHandler = (state, peer, { key, waiting, lift }) => {
  const entry = getOrCreateLedgerEntry(state.options.ledger, key.pool, key.account);
  const record = homeRecord(state, entry);
  const lifted = lift !== undefined && mergeLift(entry, lift);
  const { changed, newlyInterested } = acceptReport(state, record, {
    id: peer.id,
    run: peer.run as number,
    totals: key.totals,
    waiting,
  });
  if (changed || lifted) markCell(state, ownCell(state, record));
  if (changed || lifted || newlyInterested) {
    markSpread(state, record, newlyInterested ? undefined : peer.id);
    applyAtHome(state, record);
  }
};

const onZoneTotal: TotalHandler = (state, peer, { key, waiting, lift }) => {
  const entry = getOrCreateLedgerEntry(state.options.ledger, key.pool, key.account);
  const record = homeRecord(state, entry);
  const isOwn = key.writer === '';
  const name = isOwn ? writerName(peer.id, peer.run as number) : key.writer;
  const isFirst = !record.cells.has(name);
  let changed = raiseCell(record, name, key.totals);
  if (changed && !isLiveWriter(state, name)) {
    const cell = record.cells.get(name);
    if (cell !== undefined) markCell(state, cell, peer.id);
  }
  if (lift !== undefined && mergeLift(entry, lift)) changed = true;
  if (isOwn && setCellWaiting(record, name, waiting)) changed = true;
  if (isOwn && isFirst) bringUpToDate(state, record, peer.id);
  if (!changed) return;
  markSpread(state, record);
  applyAtHome(state, record);
};

const onSpread: TotalHandler = (state, peer, { key, waiting, lift }) => {
  const entry = getOrCreateLedgerEntry(state.options.ledger, key.pool, key.account);
  if (lift !== undefined) mergeLift(entry, lift);
  const record = ownRecord(state, entry);
  const { current } = record;
  if (current === undefined || current.home !== peer.id) return;
  applyFleetTotals(entry, key.totals, subtractTotals(record.assigned, current.assigned));
  entry.waitingElsewhere = waiting;
};

const TOTAL_HANDLERS: Record<ExchangeKind, TotalHandler> = {
  'totals-report': onReported,
  'zone-totals': onZoneTotal,
  'spread-totals': onSpread,
};

function acknowledge(peer: ExchangePeer, kind: ExchangeKind, acks: number[]): void {
  const outbox = peer.outboxes[kind];
  acks.forEach((seq) => {
    const inFlight = outbox.inFlight.get(seq);
    if (inFlight === undefined) return;
    outbox.inFlight.delete(seq);
    outbox.established = true;
    outbox.greet = false;
    inFlight.sent.forEach((sent) => {
      acknowledgeItem(sent);
      const { item } = sent.out;
      if (kind !== 'totals-report' || isPool(item)) return;
      const session = item as ReportSession;
      session.acked = maxTotals(session.acked, sent.totals);
    });
  });
}

/** Asks for an answer, so that the peer learns that this router restarted. */
function greetAgain(peer: ExchangePeer, kind: ExchangeKind): void {
  const outbox = peer.outboxes[PAIRED_KIND[kind]];
  outbox.greet = true;
  outbox.greetedTick = undefined;
  outbox.established = false;
}

/** Whether the message is from the peer's present run to this run; takes note of a run that is new. */
function isCurrent(state: ExchangeState, peer: ExchangePeer, message: ExchangeMessage): boolean {
  if (message.run === 0) {
    return peer.run !== undefined && message.session === sessionOf(peer.run, state.run);
  }
  if (peer.run !== message.run) onNewRun(state, peer, message.run);
  return message.to === state.run;
}

function peerOf(state: ExchangeState, id: string): ExchangePeer {
  const peer = state.peers.get(id) ?? createPeer(id);
  state.peers.set(id, peer);
  return peer;
}

function onMessage(state: ExchangeState, from: string, message: ExchangeMessage): void {
  const peer = peerOf(state, from);
  const current = isCurrent(state, peer, message);
  const greeting = message.run !== 0 && message.to === 0;
  if (!current && !greeting) {
    greetAgain(peer, message.kind);
    return;
  }
  if (current) acknowledge(peer, PAIRED_KIND[message.kind], message.acks);
  if (!receive(peer, message)) return;
  const { totals, pools } = decodeMessage(peer.inboxes[message.kind], message);
  mergePools(state, from, pools);
  const handler = TOTAL_HANDLERS[message.kind];
  totals.forEach((total) => handler(state, peer, total));
}

// --- ticks

function collectChanges(state: ExchangeState): void {
  const { ledger } = state.options;
  ledger.changedEntries.forEach((entry) => reportChange(state, ownRecord(state, entry)));
  ledger.changedEntries.clear();
  ledger.changedPools.forEach((pool) => markPool(state, pool));
  ledger.changedPools.clear();
}

/** Pools whose virtual time goes along with a message that is due anyway. */
function riders(state: ExchangeState, outbox: Outbox, items: OutboxItem[]): LedgerPool[] {
  const { sentPoolMs } = outbox;
  return [...state.options.ledger.pools.values()].filter(
    (pool) => pool.virtualTimeMs > (sentPoolMs.get(pool.pool) ?? 0) && !items.includes(pool),
  );
}

function compose(state: ExchangeState, peer: ExchangePeer, kind: ExchangeKind): ExchangeSend {
  const outbox = peer.outboxes[kind];
  const items = takeItems(outbox, MAX_ENTRIES);
  items.push(...riders(state, outbox, items));
  const message = createMessage(kind);
  const sent = items.map((item) => addItem(state, peer, message, item));
  items.filter(isPool).forEach(({ pool, virtualTimeMs }) => {
    outbox.sentPoolMs.set(pool, virtualTimeMs);
  });
  seal(peer, message, sent, state);
  return { kind: 'send', to: peer.id, message };
}

function onTick(state: ExchangeState, nowMs: number): ExchangeSend[] {
  if (state.nextTickMs !== undefined && nowMs < state.nextTickMs) return [];
  state.nextTickMs = nowMs + state.options.periodMs;
  state.tick += 1;
  collectChanges(state);
  const sends: ExchangeSend[] = [];
  state.peers.forEach((peer) => {
    if (!state.topology.routers.has(peer.id)) return;
    EXCHANGE_KINDS.forEach((kind) => {
      expireInFlight(peer.outboxes[kind], state.tick);
      if (isDue(peer, kind, state.tick)) sends.push(compose(state, peer, kind));
    });
  });
  return sends;
}

/** Applies one event. Call it with a tick at least once per period; ticks that come early do nothing. */
export function reduceExchange(
  state: ExchangeState,
  event: ExchangeEvent,
): Step<ExchangeState, ExchangeSend> {
  let effects: ExchangeSend[] = [];
  if (event.kind === 'tick') effects = onTick(state, event.nowMs);
  else if (event.kind === 'routers-changed') onRoutersChanged(state, event.routers);
  else onMessage(state, event.from, event.message);
  return { state, effects };
}
