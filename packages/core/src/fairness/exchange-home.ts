/**
 * State that a home router keeps of the accounts in its buckets. Each run of a home counts the reports of its zone's routers in
 * a cell that only it writes. The fleet total is the sum of the cells of all current and former homes (a grow-only counter), so
 * cells can be merged by maximum in any order.
 */
import { accountBucket } from '../hash/index.js';
import { findHome } from './exchange-topology.js';
import {
  addTotals,
  isZeroTotals,
  subtractTotals,
  totalsIncrease,
  zeroTotals,
} from './service-totals.js';
import type { CounterCell, ExchangeState, HomeRecord, Reporter } from './exchange-types.js';
import { applyFleetTotals } from './service-ledger.js';
import type { LedgerEntry, ServiceTotals } from './types.js';

/** Number of ticks after its last report during which a router without queued requests still receives the account's totals. */
const INTEREST_TIMEOUT_TICKS = 40;

/** Returns the name of one run of a router, which identifies writers of cells and reporters. */
export function writerName(id: string, run: number): string {
  return `${id}/${run}`;
}

/** Returns whether the writer is the current run of a live router. */
export function isLiveWriter(state: ExchangeState, writer: string): boolean {
  const slash = writer.lastIndexOf('/');
  const id = writer.slice(0, slash);
  const run = Number(writer.slice(slash + 1));
  if (id === state.options.self.id) return run === state.run;
  if (!state.topology.routers.has(id)) return false;
  return state.peers.get(id)?.run === run;
}

/** Returns whether the writer is the current run of a current home of the account. Cells of other writers must be forwarded. */
export function isCurrentHome(state: ExchangeState, record: HomeRecord, writer: string): boolean {
  if (!isLiveWriter(state, writer)) return false;
  const id = writer.slice(0, writer.lastIndexOf('/'));
  return [...state.topology.homes.values()].some((homes) => homes[record.bucket] === id);
}

/** Returns the home's record of an account, creating it if missing. */
export function getOrCreateHomeRecord(state: ExchangeState, entry: LedgerEntry): HomeRecord {
  let record = state.home.get(entry);
  if (record === undefined) {
    const { hasher, buckets } = state.options;
    const bucket = accountBucket(hasher, entry.account, buckets);
    record = {
      entry,
      bucket,
      cells: new Map(),
      reporters: new Map(),
      waitingReporters: 0,
      waitingCells: 0,
      sum: zeroTotals(),
    };
    state.home.set(entry, record);
  }
  return record;
}

function getOrCreateCell(record: HomeRecord, writer: string): CounterCell {
  let cell = record.cells.get(writer);
  if (cell === undefined) {
    cell = { key: record, writer, totals: zeroTotals(), announced: false, waiting: false };
    record.cells.set(writer, cell);
  }
  return cell;
}

/** Returns the cell written by the current run of this router, creating it if missing. */
export function getOrCreateOwnCell(state: ExchangeState, record: HomeRecord): CounterCell {
  return getOrCreateCell(record, writerName(state.options.self.id, state.run));
}

function increaseCell(cell: CounterCell, increment: ServiceTotals): void {
  cell.totals = addTotals(cell.totals, increment);
  cell.key.sum = addTotals(cell.key.sum, increment);
}

/** Merges the received totals of a cell. Returns whether the cell increased. */
export function mergeCell(record: HomeRecord, writer: string, received: ServiceTotals): boolean {
  const cell = getOrCreateCell(record, writer);
  const increment = totalsIncrease(cell.totals, received);
  if (isZeroTotals(increment)) return false;
  increaseCell(cell, increment);
  return true;
}

/** Records whether requests are queued in another home's zone. Returns whether this changed. */
export function setCellWaiting(record: HomeRecord, writer: string, waiting: boolean): boolean {
  const cell = getOrCreateCell(record, writer);
  if (cell.waiting === waiting) return false;
  cell.waiting = waiting;
  record.waitingCells += waiting ? 1 : -1;
  return true;
}

function setReporterWaiting(record: HomeRecord, reporter: Reporter, waiting: boolean): boolean {
  if (reporter.waiting === waiting) return false;
  reporter.waiting = waiting;
  record.waitingReporters += waiting ? 1 : -1;
  return true;
}

/** Updates the state of writers and reporters that are no longer live. Returns whether the waiting state changed. */
export function updateLiveness(state: ExchangeState, record: HomeRecord): boolean {
  let changed = false;
  record.cells.forEach(({ writer }) => {
    if (isLiveWriter(state, writer)) return;
    if (setCellWaiting(record, writer, false)) changed = true;
  });
  record.reporters.forEach((reporter, reporterName) => {
    reporter.live = isLiveWriter(state, reporterName);
    if (reporter.live) return;
    if (setReporterWaiting(record, reporter, false)) changed = true;
  });
  return changed;
}

/** Returns whether a peer receives all changes: a backup, the home of this zone, or a peer that sent its own cell. */
function receivesUpdates(state: ExchangeState, record: HomeRecord, id: string): boolean {
  const { topology, options, peers } = state;
  if (topology.backups[record.bucket]?.has(id) === true) return true;
  if (topology.routers.get(id)?.zone === options.self.zone) return true;
  const run = peers.get(id)?.run;
  return run !== undefined && record.cells.has(writerName(id, run));
}

/**
 * Queues a cell for the other routers that keep the account's totals. This run's own cell is first sent to all of them, later
 * only to backups and routers that use the account.
 */
export function queueCell(state: ExchangeState, cell: CounterCell, excludedId?: string): void {
  const isOwnCell = cell.writer === writerName(state.options.self.id, state.run);
  const isFirstAnnouncement = isOwnCell && !cell.announced;
  cell.announced = true;
  state.topology.peers[cell.key.bucket]?.forEach((id) => {
    if (id === excludedId || !(isFirstAnnouncement || receivesUpdates(state, cell.key, id))) return;
    state.peers.get(id)?.outboxes['zone-totals'].dirty.add(cell);
  });
}

function isInterested(state: ExchangeState, reporter: Reporter): boolean {
  if (!reporter.live) return false;
  return reporter.waiting || state.tick - reporter.tick <= INTEREST_TIMEOUT_TICKS;
}

/** Queues the account's totals for all routers of the zone that use the account. */
export function queueSpreadTotals(
  state: ExchangeState,
  record: HomeRecord,
  excludedId?: string,
): void {
  const { id: self } = state.options.self;
  record.reporters.forEach((reporter) => {
    const { id } = reporter;
    if (id === excludedId || id === self || !isInterested(state, reporter)) return;
    state.peers.get(id)?.outboxes['spread-totals'].dirty.add(record);
  });
}

/** A report of one account by one run of a router. */
export interface RouterReport {
  id: string;
  run: number;
  totals: ServiceTotals;
  waiting: boolean;
}

/** Effects of a report on a home's record. */
export interface ReportResult {
  /** Whether the totals or the waiting state changed. */
  changed: boolean;
  /** Whether the home did not send the account's totals to the reporter before this report. */
  becameInterested: boolean;
}

function createReporter(state: ExchangeState, id: string, reporterName: string): Reporter {
  const live = isLiveWriter(state, reporterName);
  return { id, live, totals: zeroTotals(), waiting: false, tick: -Infinity };
}

/** Adds the increase in a report to this run's cell. */
export function applyReport(
  state: ExchangeState,
  record: HomeRecord,
  report: RouterReport,
): ReportResult {
  const reporterName = writerName(report.id, report.run);
  const reporter =
    record.reporters.get(reporterName) ?? createReporter(state, report.id, reporterName);
  record.reporters.set(reporterName, reporter);
  const becameInterested = !isInterested(state, reporter);
  const increment = totalsIncrease(reporter.totals, report.totals);
  reporter.totals = addTotals(reporter.totals, increment);
  reporter.tick = state.tick;
  increaseCell(getOrCreateOwnCell(state, record), increment);
  let changed = !isZeroTotals(increment);
  if (reporter.live) {
    if (setReporterWaiting(record, reporter, report.waiting)) changed = true;
  }
  return { changed, becameInterested };
}

/** Returns whether requests of the account are queued anywhere except at the given reporter. */
export function isWaitingElsewhere(record: HomeRecord, reporterName: string): boolean {
  const ownWaiting = record.reporters.get(reporterName)?.waiting === true ? 1 : 0;
  return record.waitingCells > 0 || record.waitingReporters > ownWaiting;
}

/** Returns the fleet totals without the service that the given reporter reported to this home. */
export function totalsExcluding(record: HomeRecord, reporterName: string): ServiceTotals {
  const reporter = record.reporters.get(reporterName);
  return reporter === undefined ? record.sum : subtractTotals(record.sum, reporter.totals);
}

/** Updates this router's own ledger entry from its home record, if it is the home of the account. */
export function updateOwnLedgerEntry(state: ExchangeState, record: HomeRecord): void {
  const { options, topology, run, own } = state;
  const { id } = options.self;
  if (findHome(topology, options, record.bucket) !== id) return;
  const writer = writerName(id, run);
  const ownRecord = own.get(record.entry);
  const assigned = ownRecord?.assigned ?? zeroTotals();
  const assignedHere = ownRecord?.sessions.get(writer)?.assigned ?? zeroTotals();
  applyFleetTotals(
    record.entry,
    totalsExcluding(record, writer),
    subtractTotals(assigned, assignedHere),
  );
  record.entry.waitingElsewhere = isWaitingElsewhere(record, writer);
}
