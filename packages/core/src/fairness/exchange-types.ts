/** Types of the exchange of service totals between routers. */
import type { Hasher } from '../hash/index.js';
import type { SpreadTotals, TotalsReport, ZoneTotals } from '../protocol/index.js';
import type { Ledger, LedgerEntry, LedgerPool, Lift, ServiceTotals } from './types.js';

/** Messages of the exchange. */
export type ExchangeMessage = TotalsReport | ZoneTotals | SpreadTotals;
export type ExchangeKind = ExchangeMessage['kind'];

/** A live router as the link layer knows it. */
export interface ExchangeRouter {
  id: string;
  zone: string;
  address: string;
}

export interface ExchangeOptions {
  /** This router; the incarnation differs with each run of the process. */
  self: { id: string; incarnation: string; zone: string };
  /** Fixed number of account buckets; the same on every router. */
  buckets: number;
  /** At most one message of a kind goes to each peer in this time. */
  periodMs: number;
  hasher: Hasher;
  /** The router's ledger: read for what it charged, and updated with what the fleet did. */
  ledger: Ledger;
}

/** What the exchange reacts to. Times come from a monotonic clock. */
export type ExchangeEvent =
  | { kind: 'tick'; nowMs: number }
  | { kind: 'routers-changed'; routers: ExchangeRouter[] }
  | { kind: 'message'; from: string; message: ExchangeMessage };

/** A message to another router. */
export interface ExchangeSend {
  kind: 'send';
  to: string;
  message: ExchangeMessage;
}

/** Live routers and the homes of each bucket. */
export interface ExchangeTopology {
  /** All live routers, this one included. */
  routers: Map<string, ExchangeRouter>;
  /** Home router of each bucket in each zone, by bucket. */
  homes: Map<string, string[]>;
  /** Second router of each bucket in this router's zone, which keeps a copy of the home's totals. */
  runnersUp: (string | undefined)[];
  /** Routers that keep totals of each bucket, without this one: the homes of all zones and this zone's second. */
  peers: string[][];
  /** Those of the peers that are told everything, whether their zones use the account or not. */
  backups: Set<string>[];
  /** Rendezvous weight of each router for each bucket. */
  weights: Map<string, Uint32Array>;
}

/** What this router has counted towards one run of one home. */
export interface ReportSession {
  record: OwnServiceRecord;
  home: string;
  run: number;
  assigned: ServiceTotals;
  acked: ServiceTotals;
}

/** This router's own service of one account, spread over the homes it had. */
export interface OwnServiceRecord {
  entry: LedgerEntry;
  bucket: number;
  /** Sum over all sessions of what was assigned to them. */
  assigned: ServiceTotals;
  current: ReportSession | undefined;
  sessions: Map<string, ReportSession>;
}

/** What one run of a home counted for one account; grow-only. */
export interface CounterCell {
  key: HomeRecord;
  writer: string;
  totals: ServiceTotals;
  /** Whether all homes were told of this run's own cell, so that they tell it of theirs. */
  announced: boolean;
  /** Whether requests wait in the writer's zone; false for this run's own cell and when the writer is not live. */
  waiting: boolean;
}

/** What one run of a router reported to this home. */
export interface Reporter {
  id: string;
  /** Whether it is the present run of a live router. */
  live: boolean;
  totals: ServiceTotals;
  /** Whether requests wait there; false when it is not live. */
  waiting: boolean;
  /** Tick of its last report. */
  tick: number;
}

/** A home's state of one account. */
export interface HomeRecord {
  entry: LedgerEntry;
  bucket: number;
  cells: Map<string, CounterCell>;
  /** By writer name of the reporting router's run. */
  reporters: Map<string, Reporter>;
  /** Reporters where requests wait. */
  waitingReporters: number;
  /** Cells of other homes in whose zones requests wait. */
  waitingCells: number;
  /** Sum over all cells. */
  sum: ServiceTotals;
}

/** What can wait to be sent. */
export type OutboxItem = ReportSession | CounterCell | HomeRecord | LedgerPool;

/** An item under the number that stands for it towards one peer, and what the peer acknowledged of it. */
export interface OutgoingKey {
  item: OutboxItem;
  key: number;
  /** Totals, or a pool's virtual time as `chargedMs`. Undefined until the peer knows the number. */
  acked: ServiceTotals | undefined;
  ackedLift: Lift | undefined;
}

/** What a message under way says of an item. */
export interface SentItem {
  out: OutgoingKey;
  totals: ServiceTotals;
  lift: Lift | undefined;
}

interface InFlight {
  tick: number;
  sent: SentItem[];
}

/** One direction of one message kind to one peer. */
export interface Outbox {
  nextSeq: number;
  /** Whether the peer acknowledged this run, so that messages need not name it. */
  established: boolean;
  dirty: Set<OutboxItem>;
  keys: Map<OutboxItem, OutgoingKey>;
  inFlight: Map<number, InFlight>;
  sentPoolMs: Map<string, number>;
  /** Sends a message although nothing changed: to learn the peer's run or to tell it ours. */
  greet: boolean;
  greetedTick: number | undefined;
}

/** What a number stands for, and what the sender last said of it. */
export interface IncomingKey {
  pool: string;
  account: string;
  writer: string;
  totals: ServiceTotals;
}

/** Messages of one kind received from one run of a peer. */
export interface Inbox {
  lastSeq: number;
  pendingAcks: number[];
  keys: Map<number, IncomingKey>;
}

export type Inboxes = Record<ExchangeKind, Inbox>;

/** Another router. */
export interface ExchangePeer {
  id: string;
  /** Hash of its incarnation, once heard. */
  run: number | undefined;
  outboxes: Record<ExchangeKind, Outbox>;
  inboxes: Inboxes;
  /** Inboxes of the latest former runs, in case one of their messages is late. */
  formerInboxes: Map<number, Inboxes>;
}

/** State of the exchange. */
export interface ExchangeState {
  options: ExchangeOptions;
  run: number;
  tick: number;
  nextTickMs: number | undefined;
  topology: ExchangeTopology;
  peers: Map<string, ExchangePeer>;
  own: Map<LedgerEntry, OwnServiceRecord>;
  home: Map<LedgerEntry, HomeRecord>;
}
