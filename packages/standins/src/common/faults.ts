/** Faults that are switched on for a while, at once or by plan. */
import { z } from 'zod';
import { delay } from './delay.js';
import { FaultRole } from './types.js';
import type { Fault, FaultTable } from './types.js';
import type { Random } from './random.js';

/** What a fault table is made from. */
export interface FaultTableOptions<Kind extends string> {
  random: Random;
  /** Called when a fault starts. */
  onStart?: (fault: Fault<Kind>) => void;
}

const ANSWER_DELAY_MS = 1000;
const CUT_AFTER = 4;

/** Waits as long as a fault delays answers; not at all without a fault. */
export const delayByFault = async (fault: Fault | undefined): Promise<void> => {
  if (fault !== undefined) await delay(fault.delayMs ?? ANSWER_DELAY_MS);
};

/** Tokens or bytes that pass before a fault cuts an answer; undefined without a fault. */
export const getCutAfter = (fault: Fault | undefined): number | undefined =>
  fault === undefined ? undefined : (fault.after ?? CUT_AFTER);

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

const appliesTo = ({ role = FaultRole.All }: Fault, called: FaultRole): boolean =>
  role === FaultRole.All || called === FaultRole.All || role === called;

/** Creates a table without faults. */
export const createFaultTable = <Kind extends string>({
  random,
  onStart,
}: FaultTableOptions<Kind>): FaultTable<Kind> => {
  let active: { fault: Fault<Kind>; endsAtMs: number }[] = [];
  let timers: NodeJS.Timeout[] = [];

  const current = () => {
    const nowMs = performance.now();
    active = active.filter((entry) => entry.endsAtMs > nowMs);
    return active.map((entry) => entry.fault);
  };
  const add = (fault: Fault<Kind>) => {
    active.push({ fault, endsAtMs: performance.now() + fault.durationMs });
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
    setPlan: (plan) => {
      dropPlan();
      timers = plan.map(({ atMs, fault }) => setTimeout(() => add(fault), atMs));
    },
    trigger: (kind, role = FaultRole.All) => {
      if (active.length === 0) return undefined;
      const fault = current().find((one) => one.kind === kind && appliesTo(one, role));
      if (fault === undefined) return undefined;
      const { probability = 1 } = fault;
      return probability >= 1 || random() < probability ? fault : undefined;
    },
    list: current,
    close: dropPlan,
  };
};
