/**
 * What a home router keeps of the accounts in its buckets. Each run of a home counts what routers of its zone report to it in a
 * cell of its own, which only it writes; the fleet's total is the sum over the cells of all homes there ever were, so merging
 * by maximum per cell is right in any order.
 */
import { bucketOf } from '../hash/index.js';
import { homeOf } from './exchange-topology.js';
import { addTotals, growth, isZero, subtractTotals, zeroTotals } from './service-totals.js';
import type { CounterCell, ExchangeState, HomeRecord, Reporter } from './exchange-types.js';
import { applyFleetTotals } from './service-ledger.js';
import type { LedgerEntry, ServiceTotals } from './types.js';

/** Ticks after its last report for which a router that does not wait is still told the account's totals. */
const INTEREST_TICKS = 40;

/** Name of one run of a router, as the writer of a cell and as a reporter. */
export function writerName(id: string, run: number): string {
  return `${id}/${run}`;
}

/** Whether the writer is the present run of a live router. */
export function isLiveWriter(state: ExchangeState, writer: string): boolean {
  const slash = writer.lastIndexOf('/');
  const id = writer.slice(0, slash);
  const run = Number(writer.slice(slash + 1));
  if (id === state.options.self.id) return run === state.run;
  if (!state.topology.routers.has(id)) return false;
  return state.peers.get(id)?.run === run;
}

/** Whether the writer is the present run of a present home of the account; others rely on helpers to pass their cells on. */
export function isPresentHome(state: ExchangeState, record: HomeRecord, writer: string): boolean {
  if (!isLiveWriter(state, writer)) return false;
  const id = writer.slice(0, writer.lastIndexOf('/'));
  return [...state.topology.homes.values()].some((homes) => homes[record.bucket] === id);
}

/** The home's record of the account, created when missing. */
export function homeRecord(state: ExchangeState, entry: LedgerEntry): HomeRecord {
  let record = state.home.get(entry);
  if (record === undefined) {
    const { hasher, buckets } = state.options;
    const bucket = bucketOf(hasher, entry.account, buckets);
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

function cellOf(record: HomeRecord, writer: string): CounterCell {
  let cell = record.cells.get(writer);
  if (cell === undefined) {
    cell = { key: record, writer, totals: zeroTotals(), announced: false, waiting: false };
    record.cells.set(writer, cell);
  }
  return cell;
}

/** The cell that this run writes. */
export function ownCell(state: ExchangeState, record: HomeRecord): CounterCell {
  return cellOf(record, writerName(state.options.self.id, state.run));
}

function grow(cell: CounterCell, increment: ServiceTotals): void {
  cell.totals = addTotals(cell.totals, increment);
  cell.key.sum = addTotals(cell.key.sum, increment);
}

/** Merges what was heard of a cell. Returns whether it grew. */
export function raiseCell(record: HomeRecord, writer: string, heard: ServiceTotals): boolean {
  const cell = cellOf(record, writer);
  const increment = growth(cell.totals, heard);
  if (isZero(increment)) return false;
  grow(cell, increment);
  return true;
}

/** Notes whether requests wait in another home's zone. Returns whether that is new. */
export function setCellWaiting(record: HomeRecord, writer: string, waiting: boolean): boolean {
  const cell = cellOf(record, writer);
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

/** Takes note of which writers and reporters are live. Returns whether it is new who waits. */
export function refreshLiveness(state: ExchangeState, record: HomeRecord): boolean {
  let changed = false;
  record.cells.forEach(({ writer }) => {
    if (isLiveWriter(state, writer)) return;
    if (setCellWaiting(record, writer, false)) changed = true;
  });
  record.reporters.forEach((reporter, name) => {
    reporter.live = isLiveWriter(state, name);
    if (reporter.live) return;
    if (setReporterWaiting(record, reporter, false)) changed = true;
  });
  return changed;
}

/** Whether a peer is told of changes: a backup, the home of this zone, or one that told of its own cell. */
function isTold(state: ExchangeState, record: HomeRecord, id: string): boolean {
  const { topology, options, peers } = state;
  if (topology.backups[record.bucket]?.has(id) === true) return true;
  if (topology.routers.get(id)?.zone === options.self.zone) return true;
  const run = peers.get(id)?.run;
  return run !== undefined && record.cells.has(writerName(id, run));
}

/**
 * Queues a cell for the other routers that keep the account's totals. This run's own cell goes to all of them the first time,
 * and then to those that use the account or are backups.
 */
export function markCell(state: ExchangeState, cell: CounterCell, except?: string): void {
  const own = cell.writer === writerName(state.options.self.id, state.run);
  const toAll = own && !cell.announced;
  cell.announced = true;
  state.topology.peers[cell.key.bucket]?.forEach((id) => {
    if (id === except || !(toAll || isTold(state, cell.key, id))) return;
    state.peers.get(id)?.outboxes['zone-totals'].dirty.add(cell);
  });
}

function isInterested(state: ExchangeState, reporter: Reporter): boolean {
  if (!reporter.live) return false;
  return reporter.waiting || state.tick - reporter.tick <= INTEREST_TICKS;
}

/** Queues the account's totals for the routers of the zone that use the account. */
export function markSpread(state: ExchangeState, record: HomeRecord, except?: string): void {
  const { id: self } = state.options.self;
  record.reporters.forEach((reporter) => {
    const { id } = reporter;
    if (id === except || id === self || !isInterested(state, reporter)) return;
    state.peers.get(id)?.outboxes['spread-totals'].dirty.add(record);
  });
}

/** A report on one account by one run of a router. */
export interface Report {
  id: string;
  run: number;
  totals: ServiceTotals;
  waiting: boolean;
}

/** What a report did to a home's record. */
export interface ReportOutcome {
  /** Whether totals or waiting changed. */
  changed: boolean;
  /** Whether the reporter was not told of the account before. */
  newlyInterested: boolean;
}

function createReporter(state: ExchangeState, id: string, name: string): Reporter {
  const live = isLiveWriter(state, name);
  return { id, live, totals: zeroTotals(), waiting: false, tick: -Infinity };
}

/** Counts a report in this run's cell. */
export function acceptReport(
  state: ExchangeState,
  record: HomeRecord,
  report: Report,
): ReportOutcome {
  const name = writerName(report.id, report.run);
  const reporter = record.reporters.get(name) ?? createReporter(state, report.id, name);
  record.reporters.set(name, reporter);
  const newlyInterested = !isInterested(state, reporter);
  const increment = growth(reporter.totals, report.totals);
  reporter.totals = addTotals(reporter.totals, increment);
  reporter.tick = state.tick;
  grow(ownCell(state, record), increment);
  let changed = !isZero(increment);
  if (reporter.live) {
    if (setReporterWaiting(record, reporter, report.waiting)) changed = true;
  }
  return { changed, newlyInterested };
}

/** Whether requests of the account wait anywhere but at one run of a router of this zone. */
export function waitingElsewhere(record: HomeRecord, name: string): boolean {
  const there = record.reporters.get(name)?.waiting === true ? 1 : 0;
  return record.waitingCells > 0 || record.waitingReporters > there;
}

/** The fleet's totals without what one run of a router reported to this home. */
export function totalsWithout(record: HomeRecord, name: string): ServiceTotals {
  const reporter = record.reporters.get(name);
  return reporter === undefined ? record.sum : subtractTotals(record.sum, reporter.totals);
}

/** Brings this router's own ledger up to date with what it keeps as a home. */
export function applyAtHome(state: ExchangeState, record: HomeRecord): void {
  const { options, topology, run, own } = state;
  const { id } = options.self;
  if (homeOf(topology, options, record.bucket) !== id) return;
  const name = writerName(id, run);
  const ownRecord = own.get(record.entry);
  const assigned = ownRecord?.assigned ?? zeroTotals();
  const here = ownRecord?.sessions.get(name)?.assigned ?? zeroTotals();
  applyFleetTotals(record.entry, totalsWithout(record, name), subtractTotals(assigned, here));
  record.entry.waitingElsewhere = waitingElsewhere(record, name);
}
