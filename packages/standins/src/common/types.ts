/** Types common to all stand-ins. */
/** Kinds of calls that a fault affects. */
export const FaultRole = {
  Reads: 'reads',
  Writes: 'writes',
  All: 'all',
} as const;
export type FaultRole = (typeof FaultRole)[keyof typeof FaultRole];

/** A fault that is injected for a limited time. */
export interface Fault<Kind extends string = string> {
  kind: Kind;
  /** Duration of the fault, in milliseconds. */
  durationMs: number;
  /** Probability that the fault affects a call, 0 to 1. @default 1 */
  probability?: number;
  /** Delay of a slow or late response, in milliseconds. @default 1000 */
  delayMs?: number;
  /** Calls that the fault affects. @default 'all' */
  role?: FaultRole;
  /** Effect of an outage: status 503 or a destroyed connection. @default 'status' */
  manner?: 'status' | 'reset';
  /** Number of tokens, or of bytes of an application response, before the connection is cut. @default 4 */
  after?: number;
}

/** A fault that starts `atMs` milliseconds after its plan is set. */
export interface PlannedFault<Kind extends string = string> {
  atMs: number;
  fault: Fault<Kind>;
}

/** Active and planned faults. */
export interface FaultTable<Kind extends string> {
  add(fault: Fault<Kind>): void;
  /** Ends all active faults and cancels the plan. */
  clear(): void;
  /** Replaces the current plan; its times count from this call. */
  setPlan(plan: PlannedFault<Kind>[]): void;
  /** Returns the active fault of this kind and role if it affects the current call; samples its probability if that is below 1. */
  trigger(kind: Kind, role?: FaultRole): Fault<Kind> | undefined;
  /** Returns the active faults. */
  list(): Fault<Kind>[];
  /** Cancels the plan. */
  close(): void;
}
