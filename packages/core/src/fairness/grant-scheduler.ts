/**
 * Order in which a sidecar grants free slots. Routers report the virtual times of the accounts that wait there; between
 * reports the sidecar corrects them by what was granted meanwhile. Distance and prompt-prefix hits shift the order by bounded
 * amounts, so that their effect on the service gap is bounded too.
 */
import { Distance } from '../protocol/index.js';

/** Ways to estimate what was granted since a router's last report. */
export const Correction = {
  /** Takes the reports as they are. */
  None: 'none',
  /** Adds this sidecar's grants until the router's next report contains them. */
  OwnGrants: 'own-grants',
  /** As `own-grants`, times the fleet's slots over this sidecar's: takes every sidecar to grant alike. */
  Scaled: 'scaled',
  /** Goes on at the rate between the last two reports. */
  Extrapolate: 'extrapolate',
} as const;
export type Correction = (typeof Correction)[keyof typeof Correction];

/** Virtual time added for distance, in milliseconds. */
const DISTANCE_PENALTY_MS: Record<Distance, number> = {
  [Distance.SameZone]: 0,
  [Distance.SameRegion]: 20,
  [Distance.OtherRegion]: 100,
};

/** Virtual time taken off for a cached prompt prefix, in milliseconds. */
const PREFIX_BONUS_MS = 100;

export interface GrantSchedulerOptions {
  /** @default 'scaled' */
  correction?: Correction;
  /** Slots of this sidecar. */
  ownSlots: number;
  /** Slots of the pool in the whole fleet. */
  fleetSlots: number;
  /** Virtual time added for distance, in milliseconds. @default 0, 20 and 100 */
  distancePenaltyMs?: Record<Distance, number>;
  /** Virtual time taken off for a cached prompt prefix, in milliseconds. @default 100 */
  prefixBonusMs?: number;
}

/** An account that waits at a router. */
export interface GrantCandidate {
  router: string;
  account: string;
  /** Virtual time of the account as the router last reported it. */
  virtualTimeMs: number;
  /** Requests that wait there, as last reported. */
  waiting: number;
  /** How long the oldest has waited, in milliseconds. */
  oldestWaitMs: number;
  distance: Distance;
  /** Whether the backend server has the prompt prefix of the head request in its cache. */
  prefixHit: boolean;
}

/** A grant by this sidecar. */
export interface GrantRecord {
  router: string;
  account: string;
  /** Expected slot time of the request. */
  estimateMs: number;
  share: number;
}

/** What a router said of an account in its demand. */
export interface VirtualTimeReport {
  router: string;
  account: string;
  virtualTimeMs: number;
  /** Round-trip time of the link: a younger grant may have crossed the report. @default 0 */
  roundTripMs?: number;
}

interface Sample {
  virtualTimeMs: number;
  atMs: number;
}

interface PendingGrant {
  router: string;
  atMs: number;
  /** Estimate over share. */
  virtualMs: number;
}

/** What the sidecar knows of one account. */
interface AccountOrder {
  /** Largest virtual time reported so far, and the one before it. */
  latest: Sample | undefined;
  former: Sample | undefined;
  /** Grants that the reports do not contain yet. */
  pending: PendingGrant[];
}

/** State of the order. */
export interface GrantScheduler {
  options: Required<GrantSchedulerOptions>;
  accounts: Map<string, AccountOrder>;
}

/** Creates the order of one sidecar. */
export function createGrantScheduler(options: GrantSchedulerOptions): GrantScheduler {
  return {
    options: {
      correction: options.correction ?? Correction.Scaled,
      ownSlots: options.ownSlots,
      fleetSlots: options.fleetSlots,
      distancePenaltyMs: options.distancePenaltyMs ?? DISTANCE_PENALTY_MS,
      prefixBonusMs: options.prefixBonusMs ?? PREFIX_BONUS_MS,
    },
    accounts: new Map(),
  };
}

function accountOrder(order: GrantScheduler, account: string): AccountOrder {
  let record = order.accounts.get(account);
  if (record === undefined) {
    record = { latest: undefined, former: undefined, pending: [] };
    order.accounts.set(account, record);
  }
  return record;
}

/** Counts a grant by this sidecar. */
export function recordGrant(order: GrantScheduler, grant: GrantRecord, nowMs: number): void {
  const { router, account, estimateMs, share } = grant;
  const virtualMs = estimateMs / share;
  accountOrder(order, account).pending.push({ router, atMs: nowMs, virtualMs });
}

/** Takes back the latest grant of the account to the router, declined or expired. */
export function removePendingGrant(order: GrantScheduler, router: string, account: string): void {
  const { pending } = accountOrder(order, account);
  const index = pending.findLastIndex((grant) => grant.router === router);
  if (index >= 0) pending.splice(index, 1);
}

/** Takes in a report. It contains the grants that its router had from this sidecar. */
export function recordVirtualTimeReport(
  order: GrantScheduler,
  report: VirtualTimeReport,
  nowMs: number,
): void {
  const record = accountOrder(order, report.account);
  const { router, virtualTimeMs, roundTripMs = 0 } = report;
  record.pending = record.pending.filter(
    (grant) => grant.router !== router || grant.atMs + roundTripMs > nowMs,
  );
  if (record.latest !== undefined && virtualTimeMs <= record.latest.virtualTimeMs) return;
  if (record.latest === undefined || nowMs > record.latest.atMs) record.former = record.latest;
  record.latest = { virtualTimeMs, atMs: nowMs };
}

/** Forgets the grants to a router whose link closed. */
export function removeGrantsToRouter(order: GrantScheduler, router: string): void {
  order.accounts.forEach((record) => {
    record.pending = record.pending.filter((grant) => grant.router !== router);
  });
}

/** Forgets an account that waits at no router any more. */
export function removeScheduledAccount(order: GrantScheduler, account: string): void {
  order.accounts.delete(account);
}

function pendingMs({ pending }: AccountOrder): number {
  return pending.reduce((sum, { virtualMs }) => sum + virtualMs, 0);
}

function extrapolatedMs(record: AccountOrder, nowMs: number): number {
  const { latest, former } = record;
  if (latest === undefined || former === undefined) return pendingMs(record);
  const rate = (latest.virtualTimeMs - former.virtualTimeMs) / (latest.atMs - former.atMs);
  const aheadMs = Math.min(nowMs - latest.atMs, latest.atMs - former.atMs);
  return rate * aheadMs;
}

type CorrectionHandler = (record: AccountOrder, order: GrantScheduler, nowMs: number) => number;

const CORRECTIONS: Record<Correction, CorrectionHandler> = {
  [Correction.None]: () => 0,
  [Correction.OwnGrants]: (record) => pendingMs(record),
  [Correction.Scaled]: (record, { options }) =>
    pendingMs(record) * Math.max(1, options.fleetSlots / options.ownSlots),
  [Correction.Extrapolate]: (record, _, nowMs) => extrapolatedMs(record, nowMs),
};

/** Virtual time added to what routers report of the account, for what was granted since. */
export function correctionMs(order: GrantScheduler, account: string, nowMs: number): number {
  const record = order.accounts.get(account);
  if (record === undefined) return 0;
  return CORRECTIONS[order.options.correction](record, order, nowMs);
}

/** What locality adds to the score; at most the largest penalty, at least minus the bonus. */
function localityMs({ options }: GrantScheduler, { distance, prefixHit }: GrantCandidate): number {
  return options.distancePenaltyMs[distance] - (prefixHit ? options.prefixBonusMs : 0);
}

/**
 * Virtual time of each account: the largest that a router reports, since that router knows most of its service, and the
 * correction.
 */
function accountTimes(
  order: GrantScheduler,
  candidates: readonly GrantCandidate[],
  nowMs: number,
): Map<string, number> {
  const times = new Map<string, number>();
  candidates.forEach(({ account, virtualTimeMs }) => {
    times.set(account, Math.max(virtualTimeMs, times.get(account) ?? -Infinity));
  });
  times.forEach((timeMs, account) => {
    times.set(account, timeMs + correctionMs(order, account, nowMs));
  });
  return times;
}

function stillWaits(order: GrantScheduler, { router, account, waiting }: GrantCandidate): boolean {
  const pending = order.accounts.get(account)?.pending ?? [];
  return waiting > pending.filter((grant) => grant.router === router).length;
}

function compare(a: Scored, b: Scored): number {
  if (a.scoreMs !== b.scoreMs) return a.scoreMs - b.scoreMs;
  if (a.candidate.oldestWaitMs !== b.candidate.oldestWaitMs) {
    return b.candidate.oldestWaitMs - a.candidate.oldestWaitMs;
  }
  if (a.candidate.account !== b.candidate.account) {
    return a.candidate.account < b.candidate.account ? -1 : 1;
  }
  return a.candidate.router < b.candidate.router ? -1 : 1;
}

interface Scored {
  candidate: GrantCandidate;
  scoreMs: number;
}

/**
 * The candidate to grant next: least score, then longest wait, then name. Candidates whose requests were all granted since
 * their router's last report are passed over. Undefined when none is left.
 */
export function chooseGrant(
  order: GrantScheduler,
  candidates: readonly GrantCandidate[],
  nowMs: number,
): GrantCandidate | undefined {
  const times = accountTimes(order, candidates, nowMs);
  let best: Scored | undefined;
  candidates.forEach((candidate) => {
    if (!stillWaits(order, candidate)) return;
    const scoreMs = (times.get(candidate.account) ?? 0) + localityMs(order, candidate);
    const scored = { candidate, scoreMs };
    if (best === undefined || compare(scored, best) < 0) best = scored;
  });
  return best?.candidate;
}
