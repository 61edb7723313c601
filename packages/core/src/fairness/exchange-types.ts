/** Types of the exchange of service totals between routers. */
import type { Hasher } from '../hash/index.js';
import type {
  SpreadTotalsMessage,
  TotalsReportMessage,
  ZoneTotalsMessage,
} from '../protocol/index.js';
import type { Ledger, LedgerEntry, LedgerPool, Lift, ServiceTotals } from './types.js';

/** A message of the exchange. */
export type ExchangeMessage = TotalsReportMessage | ZoneTotalsMessage | SpreadTotalsMessage;
/** Kind of an exchange message. */
export type ExchangeKind = ExchangeMessage['kind'];

/** A live router as reported by the link layer. */
export interface ExchangeRouter {
  id: string;
  zone: string;
  address: string;
}

export interface ExchangeOptions {
  /** This router; the incarnation is unique to each run of the process. */
  self: { id: string; incarnation: string; zone: string };
  /** Fixed number of account buckets; identical on all routers. */
  buckets: number;
  /** Minimum time between two messages of a kind to the same peer, in milliseconds. */
  periodMs: number;
  hasher: Hasher;
  /** The router's ledger; source of its own charges and destination of the fleet totals. */
  ledger: Ledger;
}

/** Input event of the exchange. Times are in milliseconds of a monotonic clock. */
export type ExchangeEvent =
  | { kind: 'tick'; nowMs: number }
  | { kind: 'routers-changed'; routers: ExchangeRouter[] }
  | { kind: 'message'; from: string; message: ExchangeMessage };

/** Effect that sends a message to another router. */
export interface ExchangeSend {
  kind: 'send';
  to: string;
  message: ExchangeMessage;
}

/** Live routers and their assignment to the buckets. */
export interface ExchangeTopology {
  /** All live routers by id, including this one. */
  routers: Map<string, ExchangeRouter>;
  /** Home router of each bucket, by zone; arrays are indexed by bucket. */
  homes: Map<string, string[]>;
  /** Router with the second-highest weight for each bucket in this router's zone; it keeps a copy of the home's totals. */
  runnersUp: (string | undefined)[];
  /** Other routers that keep totals of each bucket: the homes in all zones and the runner-up in this zone. */
  peers: string[][];
  /** Peers of each bucket that receive all updates, even for accounts not used in their zones. */
  backups: Set<string>[];
  /** Rendezvous weights of each router, indexed by bucket. */
  weights: Map<string, Uint32Array>;
}

/** This router's service of one account that is assigned to one run of a home router. */
export interface ReportSession {
  record: OwnServiceRecord;
  /** Id of the home router. */
  home: string;
  /** Run of the home router. */
  run: number;
  /** Cumulative service assigned to this session. */
  assigned: ServiceTotals;
  /** Part of `assigned` that the home acknowledged. */
  acked: ServiceTotals;
}

/** This router's own service of one account, divided among its current and former homes. */
export interface OwnServiceRecord {
  entry: LedgerEntry;
  bucket: number;
  /** Total service assigned to all sessions. */
  assigned: ServiceTotals;
  /** Session with the current home; undefined until its run is known. */
  current: ReportSession | undefined;
  /** Sessions by writer name of the home's run. */
  sessions: Map<string, ReportSession>;
}

/** Grow-only counter of the service of one account, as counted by one run of a home router. */
export interface CounterCell {
  /** Record that contains the cell. */
  key: HomeRecord;
  /** Writer name of the run that counts in the cell. */
  writer: string;
  totals: ServiceTotals;
  /** Whether this run's own cell was sent to all homes, so that they send their cells in return. */
  announced: boolean;
  /** Whether requests are queued in the writer's zone; false for this run's own cell and if the writer is not live. */
  waiting: boolean;
}

/** Service and state that one run of a router reported to this home. */
export interface Reporter {
  id: string;
  /** Whether this is the current run of a live router. */
  live: boolean;
  totals: ServiceTotals;
  /** Whether requests are queued at the router; false if it is not live. */
  waiting: boolean;
  /** Tick of the last report. */
  tick: number;
}

/** A home router's state of one account. */
export interface HomeRecord {
  entry: LedgerEntry;
  bucket: number;
  /** Cells by writer name. */
  cells: Map<string, CounterCell>;
  /** Reporters by the writer name of their run. */
  reporters: Map<string, Reporter>;
  /** Number of reporters with queued requests. */
  waitingReporters: number;
  /** Number of other homes' cells whose zones have queued requests. */
  waitingCells: number;
  /** Sum of all cells. */
  sum: ServiceTotals;
}

/** An item that can be queued for sending. */
export type OutboxItem = ReportSession | CounterCell | HomeRecord | LedgerPool;

/** Numeric key that identifies an item to one peer, and the values that the peer acknowledged. */
export interface OutgoingKey {
  item: OutboxItem;
  key: number;
  /** Acknowledged totals; for a pool, `chargedMs` is its virtual time. Undefined until the peer acknowledges the key. */
  acked: ServiceTotals | undefined;
  ackedLift: Lift | undefined;
}

/** Values of an item in a message that is not yet acknowledged. */
export interface SentItem {
  out: OutgoingKey;
  totals: ServiceTotals;
  lift: Lift | undefined;
}

/** A message that is not yet acknowledged. */
interface InFlight {
  tick: number;
  sent: SentItem[];
}

/** Sending state of one message kind to one peer. */
export interface Outbox {
  nextSeq: number;
  /** Whether the peer acknowledged a message of this run; later messages identify both runs by a session hash only. */
  established: boolean;
  /** Changed items not yet sent, oldest change first. */
  dirty: Set<OutboxItem>;
  keys: Map<OutboxItem, OutgoingKey>;
  /** Unacknowledged messages by sequence number. */
  inFlight: Map<number, InFlight>;
  /** Last sent virtual time of each pool, in milliseconds. */
  sentPoolMs: Map<string, number>;
  /** Whether to send a handshake, a message without changes that exchanges the runs of both sides. */
  greet: boolean;
  /** Tick of the last handshake. */
  greetedTick: number | undefined;
}

/** Meaning of a numeric key received from a peer, with the last received totals. */
export interface IncomingKey {
  pool: string;
  account: string;
  writer: string;
  totals: ServiceTotals;
}

/** Receiving state of one message kind from one run of a peer. */
export interface Inbox {
  lastSeq: number;
  /** Sequence numbers of received messages not yet acknowledged. */
  pendingAcks: number[];
  keys: Map<number, IncomingKey>;
}

/** Inboxes of one run of a peer, by message kind. */
export type Inboxes = Record<ExchangeKind, Inbox>;

/** Exchange state of another router. */
export interface ExchangePeer {
  id: string;
  /** Hash of the peer's incarnation; undefined until a message is received. */
  run: number | undefined;
  outboxes: Record<ExchangeKind, Outbox>;
  inboxes: Inboxes;
  /** Inboxes of the latest former runs, kept for messages that arrive late. */
  formerInboxes: Map<number, Inboxes>;
}

/** State of the exchange. */
export interface ExchangeState {
  options: ExchangeOptions;
  /** Hash of this router's incarnation, at least 1. */
  run: number;
  /** Number of periods elapsed. */
  tick: number;
  nextTickMs: number | undefined;
  topology: ExchangeTopology;
  peers: Map<string, ExchangePeer>;
  /** This router's own service of each account. */
  own: Map<LedgerEntry, OwnServiceRecord>;
  /** State of the accounts for which this router keeps totals as a home or backup. */
  home: Map<LedgerEntry, HomeRecord>;
}
