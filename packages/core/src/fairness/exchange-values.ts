/** Current values of outbox items as sent to a peer. */
import { isWaitingElsewhere, totalsExcluding, writerName } from './exchange-home.js';
import type {
  CounterCell,
  ExchangeKind,
  ExchangePeer,
  ExchangeState,
  HomeRecord,
  OutboxItem,
  ReportSession,
} from './exchange-types.js';
import type { LedgerEntry, LedgerPool, ServiceTotals } from './types.js';

/** Totals of an account as sent in a message. */
export interface ItemValue {
  entry: LedgerEntry;
  totals: ServiceTotals;
  waiting: boolean;
  /** Writer name of the cell; empty for the current run of this router. */
  writer: string;
}

/** Returns whether the item is a pool, which is sent as its virtual time. */
export function isPoolItem(item: OutboxItem): item is LedgerPool {
  return 'accounts' in item;
}

function sessionValue(session: ReportSession): ItemValue {
  const { record, assigned: totals } = session;
  const { entry } = record;
  const waiting = entry.waiting && session === record.current;
  return { entry, totals, waiting, writer: '' };
}

function cellValue(state: ExchangeState, { key, totals, writer }: CounterCell): ItemValue {
  const { entry, waitingReporters } = key;
  if (writer !== writerName(state.options.self.id, state.run)) {
    return { entry, totals, waiting: false, writer };
  }
  return { entry, totals, waiting: waitingReporters > 0, writer: '' };
}

function spreadValue(peer: ExchangePeer, record: HomeRecord): ItemValue {
  const { entry } = record;
  const reporterName = writerName(peer.id, peer.run ?? 0);
  const totals = totalsExcluding(record, reporterName);
  return { entry, totals, waiting: isWaitingElsewhere(record, reporterName), writer: '' };
}

/** Returns the current value of an item for a message of the given kind. */
export function itemValue(
  state: ExchangeState,
  peer: ExchangePeer,
  kind: ExchangeKind,
  item: Exclude<OutboxItem, LedgerPool>,
): ItemValue {
  if (kind === 'totals-report') return sessionValue(item as ReportSession);
  if (kind === 'zone-totals') return cellValue(state, item as CounterCell);
  return spreadValue(peer, item as HomeRecord);
}
