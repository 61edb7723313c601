/**
 * Scheduler that decides the order in which a sidecar grants free slots. Routers report the virtual times of their backlogged
 * accounts; between reports, the sidecar corrects these by the slots granted since. Distance and prompt-prefix hits adjust the
 * order by bounded amounts, which also bounds their effect on the service gap.
 */
import { Distance } from '../protocol/index.js';

/** Methods to estimate the service granted since a router's last report. */
export const Correction = {
  /** Uses the reported virtual times unchanged. */
  None: 'none',
  /** Adds this sidecar's own grants until the router's next report includes them. */
  OwnGrants: 'own-grants',
  /** Scales `own-grants` by the ratio of fleet slots to own slots, assuming that all sidecars grant at the same rate. */
  Scaled: 'scaled',
  /** Extrapolates from the rate between the last two reports. */
  Extrapolate: 'extrapolate',
} as const;
export type Correction = (typeof Correction)[keyof typeof Correction];

/** Default penalty for the distance to the router, in milliseconds of virtual time. */
const DISTANCE_PENALTY_MS: Record<Distance, number> = {
  [Distance.SameZone]: 0,
  [Distance.SameRegion]: 20,
  [Distance.OtherRegion]: 100,
};

/** Default bonus for a cached prompt prefix, in milliseconds of virtual time. */
const PREFIX_BONUS_MS = 100;

export interface GrantSchedulerOptions {
  /** Method to correct reported virtual times. @default 'scaled' */
  correction?: Correction;
  /** Number of slots of this sidecar. */
  ownSlots: number;
  /** Number of slots of the pool across the fleet. */
  fleetSlots: number;
  /** Penalty for each distance, in milliseconds of virtual time. @default 0, 20 and 100 */
  distancePenaltyMs?: Record<Distance, number>;
  /** Bonus for a cached prompt prefix, in milliseconds of virtual time. @default 100 */
  prefixBonusMs?: number;
}

/** An account with requests queued at a router. */
export interface GrantCandidate {
  router: string;
  account: string;
  /** Virtual time of the account as last reported by the router. */
  virtualTimeMs: number;
  /** Number of queued requests as last reported by the router. */
  waiting: number;
  /** Waiting time of the oldest queued request, in milliseconds. */
  oldestWaitMs: number;
  distance: Distance;
  /** Whether the backend server has cached the prompt prefix of the first queued request. */
  prefixHit: boolean;
}

/** A slot granted by this sidecar. */
export interface GrantRecord {
  router: string;
  account: string;
  /** Expected slot time of the request, in milliseconds. */
  estimateMs: number;
  share: number;
}

/** Virtual time of an account as reported in a router's demand message. */
export interface VirtualTimeReport {
  router: string;
  account: string;
  virtualTimeMs: number;
  /** Round-trip time of the link in milliseconds; grants younger than this may have crossed the report. @default 0 */
  roundTripMs?: number;
}

interface VirtualTimeSample {
  virtualTimeMs: number;
  atMs: number;
}

interface PendingGrant {
  router: string;
  atMs: number;
  /** Estimated slot time divided by the share. */
  virtualMs: number;
}

/** Scheduling state of one account. */
interface ScheduledAccount {
  /** Largest reported virtual time. */
  latest: VirtualTimeSample | undefined;
  /** Previous value of `latest`. */
  former: VirtualTimeSample | undefined;
  /** Grants not yet included in a report. */
  pending: PendingGrant[];
}

/** State of one sidecar's grant scheduler. */
export interface GrantScheduler {
  options: Required<GrantSchedulerOptions>;
  accounts: Map<string, ScheduledAccount>;
}

/** Creates the grant scheduler of one sidecar. */
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

function getOrCreateAccount(scheduler: GrantScheduler, account: string): ScheduledAccount {
  let record = scheduler.accounts.get(account);
  if (record === undefined) {
    record = { latest: undefined, former: undefined, pending: [] };
    scheduler.accounts.set(account, record);
  }
  return record;
}

/** Records a grant as pending until a report includes it. */
export function recordGrant(scheduler: GrantScheduler, grant: GrantRecord, nowMs: number): void {
  const { router, account, estimateMs, share } = grant;
  const virtualMs = estimateMs / share;
  getOrCreateAccount(scheduler, account).pending.push({ router, atMs: nowMs, virtualMs });
}

/** Removes the latest pending grant of an account at a router, for a grant that was declined or expired. */
export function removePendingGrant(
  scheduler: GrantScheduler,
  router: string,
  account: string,
): void {
  const { pending } = getOrCreateAccount(scheduler, account);
  const index = pending.findLastIndex((grant) => grant.router === router);
  if (index >= 0) pending.splice(index, 1);
}

/** Records a report and removes the pending grants that it includes: those its router had received before sending it. */
export function recordVirtualTimeReport(
  scheduler: GrantScheduler,
  report: VirtualTimeReport,
  nowMs: number,
): void {
  const record = getOrCreateAccount(scheduler, report.account);
  const { router, virtualTimeMs, roundTripMs = 0 } = report;
  record.pending = record.pending.filter(
    (grant) => grant.router !== router || grant.atMs + roundTripMs > nowMs,
  );
  if (record.latest !== undefined && virtualTimeMs <= record.latest.virtualTimeMs) return;
  if (record.latest === undefined || nowMs > record.latest.atMs) record.former = record.latest;
  record.latest = { virtualTimeMs, atMs: nowMs };
}

/** Removes all pending grants to a router, for a closed link. */
export function removeGrantsToRouter(scheduler: GrantScheduler, router: string): void {
  scheduler.accounts.forEach((record) => {
    record.pending = record.pending.filter((grant) => grant.router !== router);
  });
}

/** Removes the scheduling state of an account without queued requests at any router. */
export function removeScheduledAccount(scheduler: GrantScheduler, account: string): void {
  scheduler.accounts.delete(account);
}

function pendingVirtualMs({ pending }: ScheduledAccount): number {
  return pending.reduce((sum, { virtualMs }) => sum + virtualMs, 0);
}

/** Returns the expected increase since the latest report, or the pending service if fewer than two reports exist. */
function extrapolateMs(record: ScheduledAccount, nowMs: number): number {
  const { latest, former } = record;
  if (latest === undefined || former === undefined) return pendingVirtualMs(record);
  const rate = (latest.virtualTimeMs - former.virtualTimeMs) / (latest.atMs - former.atMs);
  const horizonMs = Math.min(nowMs - latest.atMs, latest.atMs - former.atMs);
  return rate * horizonMs;
}

type CorrectionHandler = (
  record: ScheduledAccount,
  scheduler: GrantScheduler,
  nowMs: number,
) => number;

const CORRECTION_HANDLERS: Record<Correction, CorrectionHandler> = {
  [Correction.None]: () => 0,
  [Correction.OwnGrants]: (record) => pendingVirtualMs(record),
  [Correction.Scaled]: (record, { options }) =>
    pendingVirtualMs(record) * Math.max(1, options.fleetSlots / options.ownSlots),
  [Correction.Extrapolate]: (record, _, nowMs) => extrapolateMs(record, nowMs),
};

/** Returns the virtual time to add to an account's reports for service granted since, in milliseconds. */
export function correctionMs(scheduler: GrantScheduler, account: string, nowMs: number): number {
  const record = scheduler.accounts.get(account);
  if (record === undefined) return 0;
  return CORRECTION_HANDLERS[scheduler.options.correction](record, scheduler, nowMs);
}

/** Returns the locality term of the score, between the negated prefix bonus and the largest distance penalty. */
function localityAdjustmentMs(
  { options }: GrantScheduler,
  { distance, prefixHit }: GrantCandidate,
): number {
  return options.distancePenaltyMs[distance] - (prefixHit ? options.prefixBonusMs : 0);
}

/**
 * Returns the virtual time of each account: the largest reported value plus the correction. The largest value includes the most
 * service.
 */
function accountVirtualTimes(
  scheduler: GrantScheduler,
  candidates: readonly GrantCandidate[],
  nowMs: number,
): Map<string, number> {
  const times = new Map<string, number>();
  candidates.forEach(({ account, virtualTimeMs }) => {
    times.set(account, Math.max(virtualTimeMs, times.get(account) ?? -Infinity));
  });
  times.forEach((timeMs, account) => {
    times.set(account, timeMs + correctionMs(scheduler, account, nowMs));
  });
  return times;
}

/** Returns whether the router has more queued requests of the account than pending grants from this sidecar. */
function hasUngrantedRequests(
  scheduler: GrantScheduler,
  { router, account, waiting }: GrantCandidate,
): boolean {
  const pending = scheduler.accounts.get(account)?.pending ?? [];
  return waiting > pending.filter((grant) => grant.router === router).length;
}

/** Orders candidates by ascending score, then by longest wait, account and router. */
function compareScored(a: ScoredCandidate, b: ScoredCandidate): number {
  if (a.scoreMs !== b.scoreMs) return a.scoreMs - b.scoreMs;
  if (a.candidate.oldestWaitMs !== b.candidate.oldestWaitMs) {
    return b.candidate.oldestWaitMs - a.candidate.oldestWaitMs;
  }
  if (a.candidate.account !== b.candidate.account) {
    return a.candidate.account < b.candidate.account ? -1 : 1;
  }
  return a.candidate.router < b.candidate.router ? -1 : 1;
}

interface ScoredCandidate {
  candidate: GrantCandidate;
  scoreMs: number;
}

/**
 * Returns the candidate to grant next: lowest score, then longest wait, then account and router name. Candidates whose queued
 * requests all have pending grants are skipped. Returns undefined if no candidate remains.
 */
export function chooseGrant(
  scheduler: GrantScheduler,
  candidates: readonly GrantCandidate[],
  nowMs: number,
): GrantCandidate | undefined {
  const times = accountVirtualTimes(scheduler, candidates, nowMs);
  let best: ScoredCandidate | undefined;
  candidates.forEach((candidate) => {
    if (!hasUngrantedRequests(scheduler, candidate)) return;
    const scoreMs =
      (times.get(candidate.account) ?? 0) + localityAdjustmentMs(scheduler, candidate);
    const scored = { candidate, scoreMs };
    if (best === undefined || compareScored(scored, best) < 0) best = scored;
  });
  return best?.candidate;
}
