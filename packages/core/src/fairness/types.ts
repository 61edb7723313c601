/** Types of the service ledger. Service is slot time in milliseconds; virtual time is service divided by share. */

/** Charged and refunded service; both only grow. */
export interface ServiceTotals {
  chargedMs: number;
  refundedMs: number;
}

/**
 * Lift of an account's virtual time, with the share it was computed for. A higher epoch replaces a lower one; within an
 * epoch the largest lift wins. A change of share starts an epoch, so that virtual time stays continuous.
 */
export interface Lift {
  epoch: number;
  liftMs: number;
  share: number;
}

/** One client account in one pool, as one router knows it. */
export interface LedgerEntry {
  pool: string;
  account: string;
  /** What this run of the router charged and refunded. */
  own: ServiceTotals;
  /** Part of `own` that `others` contains already. */
  contained: ServiceTotals;
  /** Fleet totals last heard, without the part of `own` that is not in `contained`. */
  others: ServiceTotals;
  lift: Lift;
  /** Share that callers gave last, to notice a change of configuration. */
  configuredShare: number | undefined;
  /** Whether requests of the account wait at this router. */
  waiting: boolean;
  /** Whether requests of the account are known to wait at other routers. */
  waitingElsewhere: boolean;
}

/** One pool of the ledger. */
export interface LedgerPool {
  pool: string;
  /** Largest start tag dispatched so far, as far as known. */
  virtualTimeMs: number;
  accounts: Map<string, LedgerEntry>;
}

export interface LedgerOptions {
  /** Furthest that an account's virtual time may lag its pool's, in milliseconds of virtual time. */
  lagBoundMs: number;
}

/** A router's own service and its view of the fleet's. */
export interface Ledger {
  options: LedgerOptions;
  pools: Map<string, LedgerPool>;
  /** Entries that changed here since the exchange last took them. */
  changedEntries: Set<LedgerEntry>;
  /** Pools whose virtual time advanced here since the exchange last took them. */
  changedPools: Set<LedgerPool>;
}
