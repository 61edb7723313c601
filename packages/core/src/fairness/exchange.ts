/**
 * Exchange of service totals between routers: a reducer over ticks, changes of the live routers and messages, run by each
 * router. Every account bucket has a home router in each availability zone. Routers report their own service to the homes of
 * their zone; homes exchange the totals of their zones and distribute the sums to the routers of their zone that use the
 * account. Only changes are sent, with at most one message of a kind per peer and period. Lost messages are repeated, and all
 * state is merged by maximum, so the order and duplication of messages do not matter.
 */
import { accountBucket } from '../hash/index.js';
import type { ReducerResult } from '../reducer/index.js';
import {
  ACKNOWLEDGING_KIND,
  EXCHANGE_KINDS,
  acceptMessage,
  clearOutboxes,
  createEmptyMessage,
  createPeer,
  finalizeMessage,
  isMessageDue,
  requeueUnacknowledged,
  resetPeer,
  sessionHash,
  takeItems,
} from './exchange-channel.js';
import {
  applyReport,
  getOrCreateHomeRecord,
  getOrCreateOwnCell,
  isCurrentHome,
  isLiveWriter,
  mergeCell,
  queueCell,
  queueSpreadTotals,
  setCellWaiting,
  updateLiveness,
  updateOwnLedgerEntry,
  writerName,
} from './exchange-home.js';
import { appendItem, decodeMessage, markAcknowledged } from './exchange-codec.js';
import type { DecodedTotal } from './exchange-codec.js';
import { getOrCreateOwnRecord, reassignHome, reportOwnService } from './exchange-own-service.js';
import { createTopology, findHome, forwardsCellsTo } from './exchange-topology.js';
import type {
  ExchangeEvent,
  ExchangeKind,
  ExchangeMessage,
  ExchangeOptions,
  ExchangePeer,
  ExchangeRouter,
  ExchangeSend,
  ExchangeState,
  ExchangeTopology,
  HomeRecord,
  IncomingKey,
  Outbox,
  OutboxItem,
  ReportSession,
} from './exchange-types.js';
import { isPoolItem } from './exchange-values.js';
import {
  applyFleetTotals,
  getOrCreateLedgerEntry,
  getOrCreateLedgerPool,
  mergeLift,
} from './service-ledger.js';
import { maxTotals, subtractTotals } from './service-totals.js';
import type { LedgerPool } from './types.js';

/** Maximum number of queued items in one message; the rest is sent in later periods. */
const MAX_QUEUED_ITEMS_PER_MESSAGE = 256;

/** Creates the exchange of one router, without any other live routers. */
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

function poolBucket(state: ExchangeState, pool: string): number {
  return accountBucket(state.options.hasher, `pool\u0000${pool}`, state.options.buckets);
}

/**
 * Queues a pool's virtual time for its next hop. The path is: this router, the pool's home in its zone, the homes of the other
 * zones, the routers of their zones. `sourceId` is the router that sent the value, and is skipped.
 */
function queuePool(state: ExchangeState, pool: LedgerPool, sourceId?: string): void {
  const { topology, options, peers } = state;
  const bucket = poolBucket(state, pool.pool);
  const home = findHome(topology, options, bucket);
  if (home !== options.self.id) {
    if (sourceId !== home) peers.get(home)?.outboxes['totals-report'].dirty.add(pool);
    return;
  }
  topology.peers[bucket]?.forEach((id) => {
    if (id !== sourceId) peers.get(id)?.outboxes['zone-totals'].dirty.add(pool);
  });
  topology.routers.forEach(({ id, zone }) => {
    if (zone !== options.self.zone || id === sourceId) return;
    peers.get(id)?.outboxes['spread-totals'].dirty.add(pool);
  });
}

function mergePools(state: ExchangeState, from: string, pools: IncomingKey[]): void {
  pools.forEach(({ pool, totals }) => {
    const record = getOrCreateLedgerPool(state.options.ledger, pool);
    if (totals.chargedMs <= record.virtualTimeMs) return;
    record.virtualTimeMs = totals.chargedMs;
    queuePool(state, record, from);
  });
}

/** Queues the cells that this router must send to a peer that restarted or is new to the account's bucket. */
function queueMissingCells(state: ExchangeState, record: HomeRecord, peerId: string): void {
  const { topology, options, peers } = state;
  const outbox = peers.get(peerId)?.outboxes['zone-totals'];
  if (outbox === undefined) return;
  const ownWriter = writerName(options.self.id, state.run);
  const forwardsCells = forwardsCellsTo(topology, options, record.bucket, peerId);
  record.cells.forEach((cell) => {
    const sendsOwnCell = isCurrentHome(state, record, cell.writer);
    if (cell.writer === ownWriter || (forwardsCells && !sendsOwnCell)) outbox.dirty.add(cell);
  });
}

/** Requests handshakes with all exchange partners from which no message was received, so that they learn this router's run. */
function updateHandshakes(state: ExchangeState): void {
  const { topology, options, peers } = state;
  const { id: self, zone } = options.self;
  const homes = topology.homes.get(zone) ?? [];
  const isHome = homes.includes(self);
  const sharedPeers = new Set<string>();
  topology.peers.forEach((ids, bucket) => {
    if (homes[bucket] !== self && topology.runnersUp[bucket] !== self) return;
    ids.forEach((id) => sharedPeers.add(id));
  });
  peers.forEach((peer, id) => {
    if (peer.run !== undefined) return;
    peer.outboxes['totals-report'].greet = homes.includes(id);
    peer.outboxes['zone-totals'].greet = sharedPeers.has(id);
    peer.outboxes['spread-totals'].greet = isHome && topology.routers.get(id)?.zone === zone;
  });
}

/** Changes of the set of live routers. */
interface RouterChanges {
  /** Writer names of the runs that ended. */
  endedRuns: Set<string>;
  /** Ids of routers that joined or restarted. */
  joinedRouters: Set<string>;
  /** Returns the ids of the peers that are new to a bucket. */
  findNewPeers: (bucket: number) => string[];
}

function updateHomeRecord(state: ExchangeState, record: HomeRecord, changes: RouterChanges): void {
  if (updateLiveness(state, record)) {
    const ownCell = record.cells.get(writerName(state.options.self.id, state.run));
    if (ownCell !== undefined) queueCell(state, ownCell);
    queueSpreadTotals(state, record);
  }
  changes.findNewPeers(record.bucket).forEach((id) => queueMissingCells(state, record, id));
  // This router may be the only one that received the last totals of an ended run.
  changes.endedRuns.forEach((writer) => {
    const cell = record.cells.get(writer);
    if (cell !== undefined) queueCell(state, cell);
  });
  if ([...record.reporters.values()].some(({ id }) => changes.joinedRouters.has(id))) {
    queueSpreadTotals(state, record);
  }
  updateOwnLedgerEntry(state, record);
}

function queuePools(state: ExchangeState): void {
  state.options.ledger.pools.forEach((pool) => {
    if (pool.virtualTimeMs > 0) queuePool(state, pool);
  });
}

function updatePeers(state: ExchangeState, previous: ExchangeTopology): Set<string> {
  const { peers, topology, options } = state;
  const endedRuns = new Set<string>();
  previous.routers.forEach(({ id }) => {
    const peer = peers.get(id);
    if (peer === undefined || topology.routers.has(id)) return;
    clearOutboxes(peer);
    if (peer.run !== undefined) endedRuns.add(writerName(id, peer.run));
  });
  topology.routers.forEach(({ id }) => {
    if (id !== options.self.id && !peers.has(id)) peers.set(id, createPeer(id));
  });
  return endedRuns;
}

function onRoutersChanged(state: ExchangeState, routers: ExchangeRouter[]): void {
  const previous = state.topology;
  const topology = createTopology(state.options, routers, previous);
  state.topology = topology;
  const changes: RouterChanges = {
    endedRuns: updatePeers(state, previous),
    joinedRouters: new Set([...topology.routers.keys()].filter((id) => !previous.routers.has(id))),
    findNewPeers: (bucket) =>
      (topology.peers[bucket] ?? []).filter((id) => previous.peers[bucket]?.includes(id) !== true),
  };
  state.home.forEach((record) => updateHomeRecord(state, record, changes));
  state.own.forEach((record) => reassignHome(state, record));
  queuePools(state);
  updateHandshakes(state);
}

/** Resets the state of a peer that restarted and queues what its new run needs. */
function onNewRun(state: ExchangeState, peer: ExchangePeer, run: number): void {
  const { id, run: previousRun } = peer;
  resetPeer(peer, run);
  const changes: RouterChanges = {
    endedRuns: new Set(previousRun === undefined ? [] : [writerName(id, previousRun)]),
    joinedRouters: new Set([id]),
    findNewPeers: (bucket) => (state.topology.peers[bucket]?.includes(id) === true ? [id] : []),
  };
  state.home.forEach((record) => updateHomeRecord(state, record, changes));
  state.own.forEach((record) => {
    if (record.current === undefined || record.current.home === id) reassignHome(state, record);
  });
  queuePools(state);
}

type TotalHandler = (state: ExchangeState, peer: ExchangePeer, total: DecodedTotal) => void;

const handleReport: TotalHandler = (state, peer, { key, waiting, lift }) => {
  const entry = getOrCreateLedgerEntry(state.options.ledger, key.pool, key.account);
  const record = getOrCreateHomeRecord(state, entry);
  const isLiftChanged = lift !== undefined && mergeLift(entry, lift);
  const { changed, becameInterested } = applyReport(state, record, {
    id: peer.id,
    run: peer.run as number,
    totals: key.totals,
    waiting,
  });
  if (changed || isLiftChanged) queueCell(state, getOrCreateOwnCell(state, record));
  if (changed || isLiftChanged || becameInterested) {
    queueSpreadTotals(state, record, becameInterested ? undefined : peer.id);
    updateOwnLedgerEntry(state, record);
  }
};

const handleZoneTotal: TotalHandler = (state, peer, { key, waiting, lift }) => {
  const entry = getOrCreateLedgerEntry(state.options.ledger, key.pool, key.account);
  const record = getOrCreateHomeRecord(state, entry);
  const isSendersCell = key.writer === '';
  const writer = isSendersCell ? writerName(peer.id, peer.run as number) : key.writer;
  const isNewCell = !record.cells.has(writer);
  let changed = mergeCell(record, writer, key.totals);
  if (changed && !isLiveWriter(state, writer)) {
    const cell = record.cells.get(writer);
    if (cell !== undefined) queueCell(state, cell, peer.id);
  }
  if (lift !== undefined && mergeLift(entry, lift)) changed = true;
  if (isSendersCell && setCellWaiting(record, writer, waiting)) changed = true;
  if (isSendersCell && isNewCell) queueMissingCells(state, record, peer.id);
  if (!changed) return;
  queueSpreadTotals(state, record);
  updateOwnLedgerEntry(state, record);
};

const handleSpreadTotal: TotalHandler = (state, peer, { key, waiting, lift }) => {
  const entry = getOrCreateLedgerEntry(state.options.ledger, key.pool, key.account);
  if (lift !== undefined) mergeLift(entry, lift);
  const record = getOrCreateOwnRecord(state, entry);
  const { current } = record;
  if (current === undefined || current.home !== peer.id) return;
  applyFleetTotals(entry, key.totals, subtractTotals(record.assigned, current.assigned));
  entry.waitingElsewhere = waiting;
};

const TOTAL_HANDLERS: Record<ExchangeKind, TotalHandler> = {
  'totals-report': handleReport,
  'zone-totals': handleZoneTotal,
  'spread-totals': handleSpreadTotal,
};

function processAcks(peer: ExchangePeer, kind: ExchangeKind, acks: number[]): void {
  const outbox = peer.outboxes[kind];
  acks.forEach((seq) => {
    const inFlight = outbox.inFlight.get(seq);
    if (inFlight === undefined) return;
    outbox.inFlight.delete(seq);
    outbox.established = true;
    outbox.greet = false;
    inFlight.sent.forEach((sent) => {
      markAcknowledged(sent);
      const { item } = sent.out;
      if (kind !== 'totals-report' || isPoolItem(item)) return;
      const session = item as ReportSession;
      session.acked = maxTotals(session.acked, sent.totals);
    });
  });
}

/** Requests a handshake, so that the peer detects that this router restarted. */
function requestHandshake(peer: ExchangePeer, kind: ExchangeKind): void {
  const outbox = peer.outboxes[ACKNOWLEDGING_KIND[kind]];
  outbox.greet = true;
  outbox.greetedTick = undefined;
  outbox.established = false;
}

/** Returns whether the message was sent by the peer's current run to this router's current run. Resets the peer on a new run. */
function isBetweenCurrentRuns(
  state: ExchangeState,
  peer: ExchangePeer,
  message: ExchangeMessage,
): boolean {
  if (message.run === 0) {
    return peer.run !== undefined && message.session === sessionHash(peer.run, state.run);
  }
  if (peer.run !== message.run) onNewRun(state, peer, message.run);
  return message.to === state.run;
}

function getOrCreatePeer(state: ExchangeState, id: string): ExchangePeer {
  const peer = state.peers.get(id) ?? createPeer(id);
  state.peers.set(id, peer);
  return peer;
}

function onMessage(state: ExchangeState, from: string, message: ExchangeMessage): void {
  const peer = getOrCreatePeer(state, from);
  const isCurrent = isBetweenCurrentRuns(state, peer, message);
  const isHandshake = message.run !== 0 && message.to === 0;
  if (!isCurrent && !isHandshake) {
    requestHandshake(peer, message.kind);
    return;
  }
  if (isCurrent) processAcks(peer, ACKNOWLEDGING_KIND[message.kind], message.acks);
  if (!acceptMessage(peer, message)) return;
  const { totals, pools } = decodeMessage(peer.inboxes[message.kind], message);
  mergePools(state, from, pools);
  const handler = TOTAL_HANDLERS[message.kind];
  totals.forEach((total) => handler(state, peer, total));
}

function queueLedgerChanges(state: ExchangeState): void {
  const { ledger } = state.options;
  ledger.changedEntries.forEach((entry) =>
    reportOwnService(state, getOrCreateOwnRecord(state, entry)),
  );
  ledger.changedEntries.clear();
  ledger.changedPools.forEach((pool) => queuePool(state, pool));
  ledger.changedPools.clear();
}

/** Returns the pools whose advanced virtual time can be added to a message that is sent anyway. */
function piggybackedPools(state: ExchangeState, outbox: Outbox, items: OutboxItem[]): LedgerPool[] {
  const { sentPoolMs } = outbox;
  return [...state.options.ledger.pools.values()].filter(
    (pool) => pool.virtualTimeMs > (sentPoolMs.get(pool.pool) ?? 0) && !items.includes(pool),
  );
}

function composeMessage(
  state: ExchangeState,
  peer: ExchangePeer,
  kind: ExchangeKind,
): ExchangeSend {
  const outbox = peer.outboxes[kind];
  const items = takeItems(outbox, MAX_QUEUED_ITEMS_PER_MESSAGE);
  items.push(...piggybackedPools(state, outbox, items));
  const message = createEmptyMessage(kind);
  const sent = items.map((item) => appendItem(state, peer, message, item));
  items.filter(isPoolItem).forEach(({ pool, virtualTimeMs }) => {
    outbox.sentPoolMs.set(pool, virtualTimeMs);
  });
  finalizeMessage(peer, message, sent, state);
  return { kind: 'send', to: peer.id, message };
}

function onTick(state: ExchangeState, nowMs: number): ExchangeSend[] {
  if (state.nextTickMs !== undefined && nowMs < state.nextTickMs) return [];
  state.nextTickMs = nowMs + state.options.periodMs;
  state.tick += 1;
  queueLedgerChanges(state);
  const sends: ExchangeSend[] = [];
  state.peers.forEach((peer) => {
    if (!state.topology.routers.has(peer.id)) return;
    EXCHANGE_KINDS.forEach((kind) => {
      requeueUnacknowledged(peer.outboxes[kind], state.tick);
      if (isMessageDue(peer, kind, state.tick)) sends.push(composeMessage(state, peer, kind));
    });
  });
  return sends;
}

/** Applies one event. Must receive a tick at least once per period; ticks before the period has passed have no effect. */
export function reduceExchange(
  state: ExchangeState,
  event: ExchangeEvent,
): ReducerResult<ExchangeState, ExchangeSend> {
  let effects: ExchangeSend[] = [];
  if (event.kind === 'tick') effects = onTick(state, event.nowMs);
  else if (event.kind === 'routers-changed') onRoutersChanged(state, event.routers);
  else onMessage(state, event.from, event.message);
  return { state, effects };
}
