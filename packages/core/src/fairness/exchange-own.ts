/**
 * A router's own service on its way to the homes. Each amount is assigned to one run of one home and reported to it as a
 * cumulative total until acknowledged. When a home moves, its session stays as it is and new amounts go to the new home; when
 * a home dies, what it had not acknowledged is assigned anew. Only then can an amount count twice: what the home had counted
 * and passed on, but not yet acknowledged.
 */
import { bucketOf } from '../hash/index.js';
import {
  acceptReport,
  applyAtHome,
  homeRecord,
  markCell,
  markSpread,
  ownCell,
  writerName,
} from './exchange-home.js';
import { homeOf } from './exchange-topology.js';
import type { ExchangeState, OwnServiceRecord, ReportSession } from './exchange-types.js';
import { addTotals, floorTotals, isZero, subtractTotals, zeroTotals } from './service-totals.js';
import type { LedgerEntry } from './types.js';

/** Sessions kept per account, so that a home that comes back goes on where it was. */
const MAX_SESSIONS = 8;

/** The router's own record of the account, created when missing. */
export function ownRecord(state: ExchangeState, entry: LedgerEntry): OwnServiceRecord {
  let record = state.own.get(entry);
  if (record === undefined) {
    const { hasher, buckets } = state.options;
    record = {
      entry,
      bucket: bucketOf(hasher, entry.account, buckets),
      assigned: zeroTotals(),
      current: undefined,
      sessions: new Map(),
    };
    state.own.set(entry, record);
    retarget(state, record);
  }
  return record;
}

function runOf(state: ExchangeState, id: string): number | undefined {
  return id === state.options.self.id ? state.run : state.peers.get(id)?.run;
}

function sessionFor(record: OwnServiceRecord, home: string, run: number): ReportSession {
  const name = writerName(home, run);
  let session = record.sessions.get(name);
  if (session === undefined) {
    session = { record, home, run, assigned: zeroTotals(), acked: zeroTotals() };
    record.sessions.set(name, session);
  }
  return session;
}

function isAlive(state: ExchangeState, session: ReportSession): boolean {
  return state.topology.routers.has(session.home) && runOf(state, session.home) === session.run;
}

/** Takes back what a dead home did not acknowledge. */
function withdraw(session: ReportSession): void {
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

function markSession(state: ExchangeState, session: ReportSession): void {
  state.peers.get(session.home)?.outboxes['totals-report'].dirty.add(session);
}

/** Counts the session at once when this router is the home itself. */
function countHere(state: ExchangeState, session: ReportSession): void {
  const { entry } = session.record;
  const home = homeRecord(state, entry);
  const { id } = state.options.self;
  const { assigned: totals } = session;
  const waiting = entry.waiting && session === session.record.current;
  acceptReport(state, home, { id, run: state.run, totals, waiting });
  session.acked = totals;
  markCell(state, ownCell(state, home));
  markSpread(state, home, id);
  applyAtHome(state, home);
}

function deliver(state: ExchangeState, session: ReportSession): void {
  if (session.home === state.options.self.id) countHere(state, session);
  else markSession(state, session);
}

/** Assigns what is not assigned yet to the present home. Returns whether there was anything. */
function assignRest(record: OwnServiceRecord): boolean {
  const { current } = record;
  if (current === undefined) return false;
  const increment = subtractTotals(floorTotals(record.entry.own), record.assigned);
  current.assigned = addTotals(current.assigned, increment);
  record.assigned = addTotals(record.assigned, increment);
  return !isZero(increment);
}

/** Queues the report on an account that changed here. */
export function reportChange(state: ExchangeState, record: OwnServiceRecord): void {
  assignRest(record);
  if (record.current !== undefined) deliver(state, record.current);
}

function isOpen(session: ReportSession): boolean {
  return !isZero(subtractTotals(session.assigned, session.acked));
}

/** Finds the account's home again after routers came, went or restarted. */
export function retarget(state: ExchangeState, record: OwnServiceRecord): void {
  const { topology, options } = state;
  record.sessions.forEach((session) => {
    if (!isAlive(state, session)) withdraw(session);
  });
  const home = homeOf(topology, options, record.bucket);
  const run = runOf(state, home);
  const former = record.current;
  record.current = run === undefined ? undefined : sessionFor(record, home, run);
  evictSessions(record);
  const grew = assignRest(record);
  record.sessions.forEach((session) => {
    if (!isAlive(state, session)) return;
    const isCurrent = session === record.current;
    const moved = (session === former) !== isCurrent;
    if (moved || (isCurrent ? grew : isOpen(session))) deliver(state, session);
  });
}
