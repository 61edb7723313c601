/** Types of leases with fencing numbers, kept in the object service. All times are of the process's own monotonic clock. */

/** Content of `leases/{name}`. No times are stored, as clocks of different processes are not compared. */
export interface Lease {
  /** Incarnation of the holding process; absent when the lease was given back. */
  holder?: string;
  /** Grows with each change of holder; an engine that checks it refuses older ones. */
  fencing: number;
  durationMs: number;
  /** Counts the writer's writes, so that it recognises each after a lost answer. */
  write: number;
}

export interface LeaseOptions {
  /** Name of what the lease guards, such as a backend server. */
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
  /** Another process holds it; its next change, or its expiry, is awaited. */
  Waiting: 'waiting',
  Writing: 'writing',
  Held: 'held',
} as const;
export type LeasePhase = (typeof LeasePhase)[keyof typeof LeasePhase];

/** A write whose answer has not come. */
export interface PendingLeaseWrite {
  lease: Lease;
  /** When the write was sent; the lease counts from here. */
  sentAtMs: number;
}

export interface LeaseState {
  name: string;
  holder: string;
  durationMs: number;
  phase: LeasePhase;
  /** Whether orders are to be given. */
  wanted: boolean;
  /** Version of the lease object as last read or written; undefined when it does not exist. */
  version?: number;
  lease?: Lease;
  /** When this version of another's lease was first seen. */
  seenAtMs: number;
  /** End of the own lease; undefined when not held. */
  heldUntilMs?: number;
  write?: PendingLeaseWrite;
  /** Writes made by this process. */
  writes: number;
  /** When the next read or renewal is due. */
  nextAtMs: number;
}

/** An order to an engine. */
export interface EngineOrder {
  id: string;
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: boolean;
}

export type LeaseReadOutcome =
  { code: 'found'; version: number; lease: Lease } | { code: 'absent' } | { code: 'failed' };

export type LeaseWriteOutcome =
  { code: 'ok'; version: number } | { code: 'conflict' } | { code: 'failed' } | { code: 'unknown' };

export type LeaseEvent =
  /** Orders are to be given from now on, or no longer; the latter only once every order given has been answered. */
  | { kind: 'wanted'; nowMs: number; wanted: boolean }
  | { kind: 'lease-read'; nowMs: number; outcome: LeaseReadOutcome }
  | { kind: 'lease-written'; nowMs: number; outcome: LeaseWriteOutcome }
  | { kind: 'order'; nowMs: number; order: EngineOrder }
  | { kind: 'tick'; nowMs: number };

export type LeaseEffect =
  /** Its answer is one `lease-read`. */
  | { kind: 'store-read'; key: string }
  /** Conditional on `version`, or on absence without one; its answer is one `lease-written`. */
  | { kind: 'store-write'; key: string; version?: number; lease: Lease }
  | { kind: 'lease-held'; fencing: number }
  | { kind: 'lease-lost' }
  /**
   * Give the order with the fencing number, in the same turn of the event loop in which the monotonic clock was read and found not later than
   * `notAfterMs`. A later order is not given.
   */
  | { kind: 'give-order'; order: EngineOrder; fencing: number; notAfterMs: number }
  /** The order is not given: the lease is not held, or not for long enough. */
  | { kind: 'refuse-order'; order: EngineOrder; code: 'lease_not_held' | 'lease_too_short' };
