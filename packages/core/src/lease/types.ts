/** Types of leases with fencing numbers, stored in the object service. All times are on the monotonic clock of the process. */

/** Content of `leases/{name}`. It contains no timestamps because the clocks of different processes are not comparable. */
export interface Lease {
  /** Incarnation of the holding process; undefined after the lease was released. */
  holder?: string;
  /** Incremented with each change of holder; an engine that checks it rejects lower numbers. */
  fencing: number;
  durationMs: number;
  /** Sequence number of the write, by which the writer recognises it after a lost response. */
  write: number;
}

export interface LeaseOptions {
  /** Name of the protected resource, such as a backend server. */
  name: string;
  /** Incarnation of this process. */
  holder: string;
  /** @default 15000 */
  durationMs?: number;
}

export const LeasePhase = {
  /** Nothing needs the lease. */
  Idle: 'idle',
  Reading: 'reading',
  /** Waiting for the next read or retry, usually because another process holds the lease. */
  Waiting: 'waiting',
  Writing: 'writing',
  Held: 'held',
} as const;
export type LeasePhase = (typeof LeasePhase)[keyof typeof LeasePhase];

/** A write that is not confirmed yet. */
export interface PendingLeaseWrite {
  lease: Lease;
  /** Time at which the write was sent; start of the lease. */
  sentAtMs: number;
}

export interface LeaseState {
  name: string;
  holder: string;
  durationMs: number;
  phase: LeasePhase;
  /** Whether this process needs the lease in order to give orders. */
  wanted: boolean;
  /** Version of the lease object last read or written; undefined if it does not exist. */
  version?: number;
  lease?: Lease;
  /** Time at which `version` was first read. */
  seenAtMs: number;
  /** End of the own lease; undefined if not held. */
  heldUntilMs?: number;
  write?: PendingLeaseWrite;
  /** Number of writes made by this process. */
  writes: number;
  /** Due time of the next read or renewal. */
  nextAtMs: number;
}

/** An order to an engine, such as loading a model. */
export interface EngineOrder {
  id: string;
  /** Whether the engine rejects orders with an outdated fencing number. */
  checksFencing: boolean;
}

export type LeaseReadOutcome =
  { code: 'found'; version: number; lease: Lease } | { code: 'absent' } | { code: 'failed' };

export type LeaseWriteOutcome =
  { code: 'ok'; version: number } | { code: 'conflict' } | { code: 'failed' } | { code: 'unknown' };

export type LeaseEvent =
  /** Sets whether the lease is needed; it may be set to false only after every order given has been answered. */
  | { kind: 'wanted'; nowMs: number; wanted: boolean }
  | { kind: 'lease-read'; nowMs: number; outcome: LeaseReadOutcome }
  | { kind: 'lease-written'; nowMs: number; outcome: LeaseWriteOutcome }
  | { kind: 'order'; nowMs: number; order: EngineOrder }
  | { kind: 'tick'; nowMs: number };

export type LeaseEffect =
  /** Reads the lease; the result is one `lease-read` event. */
  | { kind: 'store-read'; key: string }
  /** Writes the lease if it has `version`, or does not exist if that is undefined; the result is one `lease-written` event. */
  | { kind: 'store-write'; key: string; version?: number; lease: Lease }
  | { kind: 'lease-held'; fencing: number }
  | { kind: 'lease-lost' }
  /**
   * Gives the order with the fencing number. The monotonic clock must be read in the same turn of the event loop; after `notAfterMs` the order
   * must not be given.
   */
  | { kind: 'give-order'; order: EngineOrder; fencing: number; notAfterMs: number }
  /** Refuses the order because the lease is not held or expires too soon. */
  | { kind: 'refuse-order'; order: EngineOrder; code: 'lease_not_held' | 'lease_too_short' };
