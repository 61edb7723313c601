import { z } from 'zod';
import type { Random } from './random.js';

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
  plan(plan: PlannedFault<Kind>[]): void;
  /** The fault of this kind that hits the current call, if one does. Draws a random number when its probability is below 1. */
  hit(kind: Kind, role?: FaultRole): Fault<Kind> | undefined;
  /** Faults in force now. */
  list(): Fault<Kind>[];
  close(): void;
}

export interface FaultTableOptions<Kind extends string> {
  random: Random;
  /** Called when a fault starts. */
  onStart?: (fault: Fault<Kind>) => void;
  /** Monotonic clock. @default performance.now */
  now?: () => number;
}

/** Schema of a fault whose kind is one of `kinds`. */
export const faultSchema = <const Kind extends string>(kinds: readonly Kind[]) =>
  z.strictObject({
    kind: z.enum(kinds),
    durationMs: z.number().nonnegative(),
    probability: z.number().min(0).max(1).optional(),
    delayMs: z.number().nonnegative().optional(),
    role: z.enum(['reads', 'writes', 'all']).optional(),
    manner: z.enum(['status', 'reset']).optional(),
    after: z.number().int().nonnegative().optional(),
  });

/** Schema of a plan of faults. */
export const planSchema = <const Kind extends string>(kinds: readonly Kind[]) =>
  z.array(z.strictObject({ atMs: z.number().nonnegative(), fault: faultSchema(kinds) }));

/** Creates a table without faults. */
export const createFaultTable = <Kind extends string>({
  random,
  onStart,
  now = () => performance.now(),
}: FaultTableOptions<Kind>): FaultTable<Kind> => {
  let active: { fault: Fault<Kind>; endsAtMs: number }[] = [];
  let timers: NodeJS.Timeout[] = [];

  const current = () => {
    const nowMs = now();
    active = active.filter((entry) => entry.endsAtMs > nowMs);
    return active.map((entry) => entry.fault);
  };
  const add = (fault: Fault<Kind>) => {
    active.push({ fault, endsAtMs: now() + fault.durationMs });
    onStart?.(fault);
  };
  const dropPlan = () => {
    timers.forEach((timer) => clearTimeout(timer));
    timers = [];
  };

  return {
    add,
    clear: () => {
      active = [];
      dropPlan();
    },
    plan: (plan) => {
      dropPlan();
      timers = plan.map(({ atMs, fault }) => setTimeout(() => add(fault), atMs));
    },
    hit: (kind, role = FaultRole.All) => {
      if (active.length === 0) return undefined;
      const fault = current().find(
        (one) =>
          one.kind === kind &&
          (role === FaultRole.All ||
            one.role === undefined ||
            one.role === FaultRole.All ||
            one.role === role),
      );
      if (fault === undefined) return undefined;
      const { probability = 1 } = fault;
      return probability >= 1 || random() < probability ? fault : undefined;
    },
    list: current,
    close: dropPlan,
  };
};
