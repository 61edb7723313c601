/** Fault injection, immediate or by plan. */
import { z } from 'zod';
import { delay } from './delay.js';
import { FaultRole } from './types.js';
import type { Fault, FaultTable } from './types.js';
import type { Random } from './random.js';

/** Options of a fault table. */
export interface FaultTableOptions<Kind extends string> {
  random: Random;
  /** Called whenever a fault starts. */
  onStart?: (fault: Fault<Kind>) => void;
}

const DEFAULT_DELAY_MS = 1000;
const DEFAULT_CUT_AFTER = 4;

/** Waits for the delay of a fault; resolves immediately without a fault. */
export const delayByFault = async (fault: Fault | undefined): Promise<void> => {
  if (fault !== undefined) await delay(fault.delayMs ?? DEFAULT_DELAY_MS);
};

/** Returns the number of tokens or bytes before a fault cuts an answer; undefined without a fault. */
export const getCutAfter = (fault: Fault | undefined): number | undefined =>
  fault === undefined ? undefined : (fault.after ?? DEFAULT_CUT_AFTER);

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

/** Schema of a fault plan whose kinds are among `kinds`. */
export const planSchema = <const Kind extends string>(kinds: readonly Kind[]) =>
  z.array(z.strictObject({ atMs: z.number().nonnegative(), fault: faultSchema(kinds) }));

const appliesTo = ({ role = FaultRole.All }: Fault, callRole: FaultRole): boolean =>
  role === FaultRole.All || callRole === FaultRole.All || role === callRole;

/** Creates a table without active or planned faults. */
export const createFaultTable = <Kind extends string>({
  random,
  onStart,
}: FaultTableOptions<Kind>): FaultTable<Kind> => {
  let active: { fault: Fault<Kind>; endsAtMs: number }[] = [];
  let timers: NodeJS.Timeout[] = [];

  const listActive = () => {
    const nowMs = performance.now();
    active = active.filter((entry) => entry.endsAtMs > nowMs);
    return active.map((entry) => entry.fault);
  };
  const add = (fault: Fault<Kind>) => {
    active.push({ fault, endsAtMs: performance.now() + fault.durationMs });
    onStart?.(fault);
  };
  const cancelPlan = () => {
    timers.forEach((timer) => clearTimeout(timer));
    timers = [];
  };

  return {
    add,
    clear: () => {
      active = [];
      cancelPlan();
    },
    setPlan: (plan) => {
      cancelPlan();
      timers = plan.map(({ atMs, fault }) => setTimeout(() => add(fault), atMs));
    },
    trigger: (kind, role = FaultRole.All) => {
      if (active.length === 0) return undefined;
      const fault = listActive().find(
        (candidate) => candidate.kind === kind && appliesTo(candidate, role),
      );
      if (fault === undefined) return undefined;
      const { probability = 1 } = fault;
      return probability >= 1 || random() < probability ? fault : undefined;
    },
    list: listActive,
    close: cancelPlan,
  };
};
