/** What an item of an outbox says in a message. */
import type { AccountTotal } from '../protocol/index.js';
import { totalsWithout, waitingElsewhere, writerName } from './exchange-home.js';
import type {
  Cell,
  ExchangeKind,
  ExchangePeer,
  ExchangeState,
  HomeRecord,
  OutboxItem,
  OwnSession,
} from './exchange-types.js';
import { encodeTotal } from './exchange-wire.js';
import type { LedgerPool } from './types.js';

/** Whether the item is a pool's virtual time. */
export function isPool(item: OutboxItem): item is LedgerPool {
  return 'accounts' in item;
}

function encodeSession(session: OwnSession): AccountTotal {
  const { record, assigned: totals } = session;
  const { pool, account, lift, waiting } = record.entry;
  const waitsHere = waiting && session === record.current;
  return encodeTotal({ pool, account, totals, lift, waiting: waitsHere });
}

function encodeCell(state: ExchangeState, cell: Cell): AccountTotal {
  const { pool, account, lift } = cell.key.entry;
  const { totals } = cell;
  const own = cell.writer === writerName(state.options.self.id, state.run);
  const writer = own ? undefined : cell.writer;
  const waiting = own && cell.key.waitingReporters > 0;
  return encodeTotal({ pool, account, totals, lift, waiting, writer });
}

function encodeSpread(peer: ExchangePeer, record: HomeRecord): AccountTotal {
  const { pool, account, lift } = record.entry;
  const name = writerName(peer.id, peer.run ?? 0);
  const totals = totalsWithout(record, name);
  const waiting = waitingElsewhere(record, name);
  return encodeTotal({ pool, account, totals, lift, waiting });
}

/** Encodes an item of a kind's outbox with its present values. */
export function encodeItem(
  state: ExchangeState,
  peer: ExchangePeer,
  kind: ExchangeKind,
  item: OutboxItem,
): AccountTotal {
  if (kind === 'totals-report') return encodeSession(item as OwnSession);
  if (kind === 'zone-totals') return encodeCell(state, item as Cell);
  return encodeSpread(peer, item as HomeRecord);
}
