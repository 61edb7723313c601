/** Types of the service ledger. Service is slot time in milliseconds; virtual time is service divided by the account's share. */

/** Cumulative charged and refunded service in milliseconds; both are grow-only. */
export interface ServiceTotals {
  chargedMs: number;
  refundedMs: number;
}

/**
 * Offset added to an account's virtual time, with the share for which it was computed. When two lifts merge, the higher epoch
 * wins; within an epoch, the largest lift wins. A change of share starts a new epoch, so that virtual time stays continuous.
 */
export interface Lift {
  epoch: number;
  liftMs: number;
  share: number;
}

/** One router's view of a client account in one pool. */
export interface LedgerEntry {
  pool: string;
  account: string;
  /** Service charged and refunded by the current run of this router. */
  own: ServiceTotals;
  /** Part of `own` that is already included in `others`. */
  contained: ServiceTotals;
  /** Last received fleet totals; they include only the `contained` part of `own`. */
  others: ServiceTotals;
  lift: Lift;
  /** Share passed by the latest caller, used to detect a configuration change. */
  configuredShare: number | undefined;
  /** Whether requests of the account are queued at this router. */
  waiting: boolean;
  /** Whether requests of the account are known to be queued at other routers. */
  waitingElsewhere: boolean;
}

/** Accounts and virtual time of one pool. */
export interface LedgerPool {
  pool: string;
  /** Largest known start tag of any dispatched request. */
  virtualTimeMs: number;
  accounts: Map<string, LedgerEntry>;
}

export interface LedgerOptions {
  /** Maximum lag of an account's virtual time behind its pool's, in milliseconds of virtual time. */
  lagBoundMs: number;
}

/** A router's own charges and its view of the fleet's totals. */
export interface Ledger {
  options: LedgerOptions;
  pools: Map<string, LedgerPool>;
  /** Entries changed locally since the exchange last collected them. */
  changedEntries: Set<LedgerEntry>;
  /** Pools whose virtual time advanced locally since the exchange last collected them. */
  changedPools: Set<LedgerPool>;
}
