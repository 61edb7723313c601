/** What an item of an outbox says to a peer at present. */
import { totalsWithout, waitingElsewhere, writerName } from './exchange-home.js';
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

/** Totals of an account as they go into a message. */
export interface ItemValue {
  entry: LedgerEntry;
  totals: ServiceTotals;
  waiting: boolean;
  /** Empty for this router's present run. */
  writer: string;
}

/** Whether the item is a pool's virtual time. */
export function isPool(item: OutboxItem): item is LedgerPool {
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
  const name = writerName(peer.id, peer.run ?? 0);
  const totals = totalsWithout(record, name);
  return { entry, totals, waiting: waitingElsewhere(record, name), writer: '' };
}

/** What the item says in a message of the kind. */
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
