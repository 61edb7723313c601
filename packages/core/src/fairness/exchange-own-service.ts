/**
 * Reports a router's own service to home routers. Each amount is assigned to one run of a home and reported to it as part of a
 * cumulative total until acknowledged. When a bucket moves to another home, the old session is kept and new amounts are assigned
 * to the new home. When a home fails, amounts that it did not acknowledge are reassigned; an amount is counted twice only if
 * the failed home had already counted and forwarded it.
 */
import { accountBucket } from '../hash/index.js';
import {
  applyReport,
  getOrCreateHomeRecord,
  getOrCreateOwnCell,
  queueCell,
  queueSpreadTotals,
  updateOwnLedgerEntry,
  writerName,
} from './exchange-home.js';
import { findHome } from './exchange-topology.js';
import type { ExchangeState, OwnServiceRecord, ReportSession } from './exchange-types.js';
import {
  addTotals,
  floorTotals,
  isZeroTotals,
  subtractTotals,
  zeroTotals,
} from './service-totals.js';
import type { LedgerEntry } from './types.js';

/** Maximum number of sessions kept per account, so that a returning home resumes its former session. */
const MAX_SESSIONS = 8;

/** Returns the record of this router's own service of an account, creating it if missing. */
export function getOrCreateOwnRecord(state: ExchangeState, entry: LedgerEntry): OwnServiceRecord {
  let record = state.own.get(entry);
  if (record === undefined) {
    const { hasher, buckets } = state.options;
    record = {
      entry,
      bucket: accountBucket(hasher, entry.account, buckets),
      assigned: zeroTotals(),
      current: undefined,
      sessions: new Map(),
    };
    state.own.set(entry, record);
    reassignHome(state, record);
  }
  return record;
}

function getRun(state: ExchangeState, id: string): number | undefined {
  return id === state.options.self.id ? state.run : state.peers.get(id)?.run;
}

function getOrCreateSession(record: OwnServiceRecord, home: string, run: number): ReportSession {
  const writer = writerName(home, run);
  let session = record.sessions.get(writer);
  if (session === undefined) {
    session = { record, home, run, assigned: zeroTotals(), acked: zeroTotals() };
    record.sessions.set(writer, session);
  }
  return session;
}

function isHomeLive(state: ExchangeState, session: ReportSession): boolean {
  return state.topology.routers.has(session.home) && getRun(state, session.home) === session.run;
}

/** Releases service that a failed home did not acknowledge, so that it can be reassigned. */
function releaseUnacknowledged(session: ReportSession): void {
  const { record } = session;
  record.assigned = subtractTotals(
    record.assigned,
    subtractTotals(session.assigned, session.acked),
  );
  session.assigned = session.acked;
}

function evictSessions(record: OwnServiceRecord): void {
  const names = record.sessions.keys();
  while (record.sessions.size > MAX_SESSIONS) {
    const name = names.next().value as string;
    if (record.sessions.get(name) !== record.current) record.sessions.delete(name);
  }
}

function queueSession(state: ExchangeState, session: ReportSession): void {
  state.peers.get(session.home)?.outboxes['totals-report'].dirty.add(session);
}

/** Counts the session's service directly, for a router that is the home itself. */
function countLocally(state: ExchangeState, session: ReportSession): void {
  const { entry } = session.record;
  const record = getOrCreateHomeRecord(state, entry);
  const { id } = state.options.self;
  const { assigned: totals } = session;
  const waiting = entry.waiting && session === session.record.current;
  applyReport(state, record, { id, run: state.run, totals, waiting });
  session.acked = totals;
  queueCell(state, getOrCreateOwnCell(state, record));
  queueSpreadTotals(state, record, id);
  updateOwnLedgerEntry(state, record);
}

function submitSession(state: ExchangeState, session: ReportSession): void {
  if (session.home === state.options.self.id) countLocally(state, session);
  else queueSession(state, session);
}

/** Assigns unassigned service to the current home. Returns whether there was any. */
function assignNewService(record: OwnServiceRecord): boolean {
  const { current } = record;
  if (current === undefined) return false;
  const increment = subtractTotals(floorTotals(record.entry.own), record.assigned);
  current.assigned = addTotals(current.assigned, increment);
  record.assigned = addTotals(record.assigned, increment);
  return !isZeroTotals(increment);
}

/** Queues the report for an account that changed at this router. */
export function reportOwnService(state: ExchangeState, record: OwnServiceRecord): void {
  assignNewService(record);
  if (record.current !== undefined) submitSession(state, record.current);
}

function hasUnacknowledged(session: ReportSession): boolean {
  return !isZeroTotals(subtractTotals(session.assigned, session.acked));
}

/** Recomputes the account's home after routers joined, left or restarted. */
export function reassignHome(state: ExchangeState, record: OwnServiceRecord): void {
  const { topology, options } = state;
  record.sessions.forEach((session) => {
    if (!isHomeLive(state, session)) releaseUnacknowledged(session);
  });
  const home = findHome(topology, options, record.bucket);
  const run = getRun(state, home);
  const previous = record.current;
  record.current = run === undefined ? undefined : getOrCreateSession(record, home, run);
  evictSessions(record);
  const hasNewService = assignNewService(record);
  record.sessions.forEach((session) => {
    if (!isHomeLive(state, session)) return;
    const isCurrent = session === record.current;
    const hasChangedRole = (session === previous) !== isCurrent;
    if (hasChangedRole || (isCurrent ? hasNewService : hasUnacknowledged(session)))
      submitSession(state, session);
  });
}
