/** Types that all stand-ins share. */
/** Calls that a fault hits. */
export const FaultRole = {
  Reads: 'reads',
  Writes: 'writes',
  All: 'all',
} as const;
export type FaultRole = (typeof FaultRole)[keyof typeof FaultRole];

/** A fault that a stand-in shows for a while. */
export interface Fault<Kind extends string = string> {
  kind: Kind;
  /** How long the fault lasts from its start, in milliseconds. */
  durationMs: number;
  /** Chance that one call is hit, 0 to 1. @default 1 */
  probability?: number;
  /** Delay of a slow or late answer, in milliseconds. @default 1000 */
  delayMs?: number;
  /** @default 'all' */
  role?: FaultRole;
  /** How an outage shows: a 503 answer or a destroyed connection. @default 'status' */
  manner?: 'status' | 'reset';
  /** Tokens, or bytes of a plain answer, that pass before a cut. @default 4 */
  after?: number;
}

/** A fault that starts some time after its plan was set. */
export interface PlannedFault<Kind extends string = string> {
  atMs: number;
  fault: Fault<Kind>;
}

/** Faults that are switched on, and those planned. */
export interface FaultTable<Kind extends string> {
  add(fault: Fault<Kind>): void;
  /** Ends all faults and drops the plan. */
  clear(): void;
  /** Starts a plan, in place of the previous one. */
  setPlan(plan: PlannedFault<Kind>[]): void;
  /** The fault of this kind that hits the current call, if one does. Draws a random number when its probability is below 1. */
  trigger(kind: Kind, role?: FaultRole): Fault<Kind> | undefined;
  /** Faults in force now. */
  list(): Fault<Kind>[];
  close(): void;
}
